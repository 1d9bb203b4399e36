/* eslint-disable @typescript-eslint/no-require-imports */
const loaded = new Map<string, unknown>();
const lib = <T>(name: string): T => {
  if (!loaded.has(name)) loaded.set(name, require(`node:${name}`));
  return loaded.get(name) as T;
};

/**
 * Built-in modules that hold handles of the operating system. They are loaded on first use, since a start-up snapshot
 * cannot contain such handles.
 *
 * @example
 * NodeLibs.net().createServer(serve);
 */
export const NodeLibs = {
  http: (): typeof import("http") => lib("http"),
  net: (): typeof import("net") => lib("net"),
  dgram: (): typeof import("dgram") => lib("dgram"),
  crypto: (): typeof import("crypto") => lib("crypto"),
};
