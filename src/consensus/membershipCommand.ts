import { Command } from "../controlState/command";

/** The voters that a command sets; undefined for a command that leaves the membership as it is. */
export const votersSetBy = (command: Command): string[] | undefined =>
  command.tag === "voters" || command.tag === "found" ? command.voters : undefined;

/** The group's id, if this is the command that bootstraps a group. */
export const groupBootstrappedBy = (command: Command): string | undefined =>
  command.tag === "found" ? command.group : undefined;
