/**
 * The role of a Raft server in its current term (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", section 5.1).
 */
export type RaftRole = "follower" | "candidate" | "leader";

/** Returns the role as it is sent to other processes, where the leader is called "lead". */
export const roleOnWire = (role: RaftRole): string => (role === "leader" ? "lead" : role);
