import {
  intersectHomes,
  type ForwardCustomer,
  type ForwardRequest,
  type Route,
} from "@lycheepulley/forwarding";

/** What the configuration says of a request that it lets in. */
export type Admission = Pick<
  ForwardRequest,
  "route" | "customer" | "priority" | "revision" | "homes"
>;

/** The admission of a request on `route`, by a customer unless the route needs none. */
export const newAdmission = (
  route: Route,
  customer: ForwardCustomer | undefined,
  revision: number,
): Admission => ({
  ...{ route, customer: customer?.name, revision },
  priority: customer?.priority ?? route.priority,
  homes: intersectHomes([route.homeRegions, customer?.homeRegions]),
});
