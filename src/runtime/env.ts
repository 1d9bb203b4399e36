/** Exports the environment of a process and the interfaces that it consists of. */
export type { BodyEnd } from "./bodyEnd";
export type { BodyFraming } from "./bodyFraming";
export type { Disk } from "./disk";
export type { Environment, FaultPointContext, Timer } from "./environment";
export { EnvironmentTools } from "./environmentTools";
export type { HttpExchange, HttpLimits, HttpRequest, HttpResponse, StreamFraming } from "./http";
export type { RequestCorrelation } from "./requestCorrelation";
export type { DatagramSocket, Link } from "./network";
export type { ServingPhase } from "./servingPhase";
