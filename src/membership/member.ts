/** The kinds of processes that are members of a cluster. */
export type Program = "agent" | "store" | "control";

/** States in the order in which they override one another within an incarnation. */
export type MemberState = "alive" | "suspect" | "dead" | "left";

/** What is known of a member. It goes over the wire under these names. */
export interface Member {
  id: string;
  program: Program;
  /** Name of the machine, by which operators know it. */
  name?: string;
  /** Failure domain (region and zone). */
  district: string;
  /** Host and port of both its TCP and its UDP socket. */
  address: string;
  /** Host and port of its HTTP server. */
  http: string;
  /** Raised by the member itself, at a start and to refute a suspicion; the greater overrides. */
  incarnation: number;
  state: MemberState;
}

const RANKS: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** From this rank on a member isn't worked with. */
const LOWEST_DEAD_RANK = RANKS.dead;

/** Position of a state in the order of overriding; the value goes over the wire. */
export const rankOf = (state: MemberState): number => RANKS[state];

/** Alive or suspected: a suspect counts as a member until the suspicion is confirmed. */
export const isActive = (member: Member): boolean => RANKS[member.state] < LOWEST_DEAD_RANK;

/** The same by rank. */
export const isActiveRank = (rank: number): boolean => rank < LOWEST_DEAD_RANK;

/** Whether a member as another process told of it has the fields that decide. */
export const isMember = (candidate: Member | undefined): candidate is Member =>
  typeof candidate?.id === "string" && typeof candidate.address === "string" && candidate.state in RANKS;
