export type Program = "agent" | "store" | "control";
/** What is known of a member. `address` is both its TCP and its UDP address. */
export type Member = {
  id: string;
  program: Program;
  name?: string; // the machine's, by which operators know it
  district: string;
  address: string;
  http: string;
  incarnation: number;
  state: "alive" | "suspect" | "dead" | "left";
};
