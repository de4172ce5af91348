import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** One service among which a route's requests are divided, and its weight. */
export const routePartSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  weight: Type.Number({ minimum: 0 }),
});
export type RoutePart = Static<typeof routePartSchema>;

/** What requests of one host name and path prefix are, and where they go. */
export const routeSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** The `Host` header without its port, in lower case. */
  host: Type.String({ minLength: 1 }),
  /** Begins and ends with a slash; among the routes of a host the longest one that begins the path applies. */
  pathPrefix: Type.String({ pattern: '^/(.*/)?$' }),
  /** `nonIdempotent` requests run at most once. */
  kind: Type.Union([Type.Literal('idempotent'), Type.Literal('nonIdempotent')]),
  /** 0 is the most urgent. */
  priority: Type.Integer({ minimum: 0 }),
  /** Time within which an answer earns its full worth (ms). */
  targetLatencyMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Longest time that a request may be kept waiting (ms). */
  timeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Most targets to which one request may be sent. */
  maxAttempts: Type.Integer({ minimum: 1 }),
  /** The service that serves the route; absent when `parts` divide it. */
  service: Type.Optional(Type.Union([Type.String({ minLength: 1 }), Type.Null()])),
  parts: Type.Optional(Type.Union([Type.Array(routePartSchema), Type.Null()])),
});
export type Route = Static<typeof routeSchema>;

export const routedServiceSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** Most connections that one target of the service accepts. */
  maxConnections: Type.Integer({ minimum: 1 }),
});
export type RoutedService = Static<typeof routedServiceSchema>;

/** What a client may send, and how long it may take. */
export const requestLimitsSchema = Type.Object({
  maxHeaderBytes: Type.Integer({ minimum: 1 }),
  maxBodyBytes: Type.Integer({ minimum: 0 }),
  /** Longest time from a connection's first byte to the end of the headers (ms). */
  headerTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Longest time that a connection may stay idle between requests (ms). */
  idleTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
});
export type RequestLimits = Static<typeof requestLimitsSchema>;

/** All routes of a deployment. Versions rise with each change. */
export const routeConfigurationSchema = Type.Object({
  version: Type.Integer({ minimum: 0 }),
  routes: Type.Array(routeSchema),
  services: Type.Array(routedServiceSchema),
  limits: requestLimitsSchema,
});
export type RouteConfiguration = Static<typeof routeConfigurationSchema>;
