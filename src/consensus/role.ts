/** The role of a Raft server in its current term (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", section 5.1). */
export type RaftRole = "follower" | "candidate" | "leader";

/** The role as other processes receive it: their word for the leader is "lead". @example roleOnWire("leader") // "lead" */
export const roleOnWire = (role: RaftRole): string => (role === "leader" ? "lead" : role);
