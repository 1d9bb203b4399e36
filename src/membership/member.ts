/** Kinds of processes that are members of a cluster. */
export type Program = "agent" | "store" | "control";

/** States in the order in which they override one another within an incarnation. */
export type MemberState = "alive" | "suspect" | "dead" | "left";

/** Record of a member. The field names are part of the wire format. */
export interface Member {
  id: string;
  program: Program;
  /** Name of the machine that operators use. */
  name?: string;
  /** Failure domain (region and zone). */
  district: string;
  /** Host and port of both its TCP and its UDP socket. */
  address: string;
  /** Host and port of its HTTP server. */
  http: string;
  /**
   * Raised by the member itself at each start and to refute a suspicion; a greater incarnation overrides a smaller one.
   */
  incarnation: number;
  state: MemberState;
}

const RANKS: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Members of this rank or a higher one are not used. */
const LOWEST_DEAD_RANK = RANKS.dead;

/** Rank of a state: a higher rank overrides a lower one. The number is part of the wire format. */
export const rankOf = (state: MemberState): number => RANKS[state];

/** Whether a member is alive or suspected; a suspect counts as a member until the suspicion is confirmed. */
export const isActive = (member: Member): boolean => RANKS[member.state] < LOWEST_DEAD_RANK;

/** Same as `isActive`, for a rank. */
export const isActiveRank = (rank: number): boolean => rank < LOWEST_DEAD_RANK;

/** Checks the required fields of a member record from another process. */
export const isMember = (candidate: Member | undefined): candidate is Member =>
  typeof candidate?.id === "string" && typeof candidate.address === "string" && candidate.state in RANKS;
