import type { Random } from "@lycheepulley/core";

import type { Pattern } from "./pattern.js";

type Customers = NonNullable<Pattern["customers"]>;

const getFactor = ({ surges }: Customers[number], nowMs: number): number =>
  surges?.find(({ atMs, forMs }) => atMs <= nowMs && nowMs < atMs + forMs)?.factor ?? 1;

/** Requests of all customers at a time, as a multiple of the usual ones; 1 without customers. */
export const getCustomersFactor = (customers: Customers = [], nowMs: number): number =>
  customers.length === 0
    ? 1
    : customers.reduce((sum, customer) => sum + customer.part * getFactor(customer, nowMs), 0);

/** Highest of {@link getCustomersFactor} at any time. */
export const getHighestFactor = (customers: Customers = []): number =>
  customers.reduce(
    (sum, { part, surges = [] }) => sum + part * Math.max(1, ...surges.map((each) => each.factor)),
    0,
  ) || 1;

/** Picks a customer by what each asks for at a time; undefined without customers. */
export const pickCustomer = (
  customers: Customers = [],
  { nowMs, random }: { nowMs: number; random: Random },
): Customers[number] | undefined => {
  if (customers.length === 0) {
    return undefined;
  }
  let left = random.next() * getCustomersFactor(customers, nowMs);
  return (
    customers.find((customer) => {
      left -= customer.part * getFactor(customer, nowMs);
      return left < 0;
    }) ?? customers.at(-1)
  );
};
