import { Shape, shapeOf } from "./shape";

/** An HTTP request of a recorded run with its response. */
export type Exchange = {
  request: string;
  status: number;
  headers: Record<string, string>;
  body: unknown;
};
export type ResponseShape = { status: number; headers: string[]; body: Shape | string };

/** Parses the events of an event stream. Data that is a JSON object is parsed too. */
function parseEvents(text: string): { event: string; data: unknown }[] {
  return text
    .split("\n\n")
    .filter((block) => block.startsWith("id:") || block.startsWith("event:"))
    .map((block) => {
      const field = (name: string): string =>
        block
          .split("\n")
          .find((line) => line.startsWith(`${name}: `))
          ?.slice(name.length + 2) ?? "";
      const data = field("data");
      return { event: field("event"), data: data.startsWith("{") ? (JSON.parse(data) as unknown) : data };
    });
}
function streamShape(text: string): Shape {
  const byEvent: Record<string, unknown[]> = {};
  for (const { event, data } of parseEvents(text)) (byEvent[event] ??= []).push(data);
  const shapes = Object.entries(byEvent).map(([event, values]) =>
    Object.entries(shapeOf(values)).map(([path, types]) => [`${event} ${path}`, types]),
  );
  return Object.fromEntries(shapes.flat()) as Shape;
}
/** Returns the sorted names of the metrics, without their values. */
const metricNames = (text: string): string =>
  text
    .trim()
    .split("\n")
    .map((line) => line.split(" ")[0])
    .sort()
    .join(" ");

function bodyShape(body: unknown, contentType: string): Shape | string {
  if (typeof body !== "string") return shapeOf([body]);
  if (contentType.startsWith("text/event-stream")) return streamShape(body);
  if (contentType.startsWith("text/plain") && body.startsWith("petrelbeam_")) return metricNames(body);
  if (body.startsWith("[")) return shapeOf([JSON.parse(body)]);
  return body === "" ? "empty" : "text";
}

/** Returns the parts of a response that callers may rely on: status, header names and the fields and types of the body. */
export const responseShape = ({ status, headers, body }: Exchange): ResponseShape => ({
  status,
  headers: Object.keys(headers).sort(),
  body: bodyShape(body, headers["content-type"] ?? ""),
});
