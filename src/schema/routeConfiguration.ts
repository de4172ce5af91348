import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { headerLabelSchema } from './headText.js';

/** One of the services that share the requests of a route, and its weight. */
export const routePartSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  weight: Type.Number({ minimum: 0 }),
});
export type RoutePart = Static<typeof routePartSchema>;

/** How requests with a certain host name and path prefix are handled, and by which service. */
export const routeSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** The `Host` header without its port, in lower case. */
  host: Type.String({ minLength: 1 }),
  /** Starts and ends with a slash. Of the routes of a host the one with the longest matching prefix applies. */
  pathPrefix: Type.String({ pattern: '^/(.*/)?$' }),
  /** Requests that are not idempotent run at most once. */
  isIdempotent: Type.Boolean(),
  /** Large bodies or answers: they never take the lane of urgent requests. */
  isBulk: Type.Boolean(),
  /** Open to clients without a key of an organisation. */
  isOpen: Type.Boolean(),
  /** 0 is the highest priority. */
  priority: Type.Integer({ minimum: 0 }),
  /** Time within which an answer has its full worth (ms). */
  targetLatencyMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Time after which a request times out (ms). */
  timeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Maximum number of targets to which one request may be sent. */
  maxAttempts: Type.Integer({ minimum: 1 }),
  /** The service that handles the route; absent when `parts` is set. */
  service: Type.Optional(Type.Union([Type.String({ minLength: 1 }), Type.Null()])),
  parts: Type.Optional(Type.Union([Type.Array(routePartSchema), Type.Null()])),
});
export type Route = Static<typeof routeSchema>;

export const routedServiceSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** Maximum number of connections that one target of the service accepts. */
  maxConnections: Type.Integer({ minimum: 1 }),
});
export type RoutedService = Static<typeof routedServiceSchema>;

/** Size and time limits for requests of clients. */
export const requestLimitsSchema = Type.Object({
  maxHeaderBytes: Type.Integer({ minimum: 1 }),
  maxBodyBytes: Type.Integer({ minimum: 0 }),
  /** Maximum time from the first byte on a connection to the end of the headers (ms). */
  headerTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Maximum time that a connection may stay idle between requests (ms). */
  idleTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
});
export type RequestLimits = Static<typeof requestLimitsSchema>;

/** A client organisation, whose requests carry one of its keys. */
export const organisationSchema = Type.Object({
  name: headerLabelSchema,
  keys: Type.Array(Type.String({ minLength: 1 })),
  /** Replaces the priority of the routes; absent to keep it. */
  priority: Type.Optional(Type.Integer({ minimum: 0 })),
  /** Quota over all nodes together (requests per second); 0 or absent for no limit. */
  ratePerSecond: Type.Optional(Type.Number({ minimum: 0 })),
  /** Number of requests that the quota allows in addition at once. */
  burst: Type.Optional(Type.Number({ minimum: 0 })),
});
export type Organisation = Static<typeof organisationSchema>;

/** All routes of a deployment. The version increases with each change. */
export const routeConfigurationSchema = Type.Object({
  version: Type.Integer({ minimum: 0 }),
  routes: Type.Array(routeSchema),
  services: Type.Array(routedServiceSchema),
  limits: requestLimitsSchema,
  /** Absent where requests need no keys. */
  organisations: Type.Optional(Type.Array(organisationSchema)),
});
export type RouteConfiguration = Static<typeof routeConfigurationSchema>;
