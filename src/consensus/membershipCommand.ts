import { Command } from "../controlState/command";

/** Returns the voters that a command sets; undefined if the command does not change the membership. */
export const votersSetBy = (command: Command): string[] | undefined =>
  command.tag === "voters" || command.tag === "found" ? command.voters : undefined;

/** Returns the id of the group that a command bootstraps; undefined for any other command. */
export const groupBootstrappedBy = (command: Command): string | undefined =>
  command.tag === "found" ? command.group : undefined;
