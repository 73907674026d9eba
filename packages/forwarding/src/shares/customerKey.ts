import { createHash } from "node:crypto";

import { z } from "zod";

const KEY_LENGTH = 8;
/** Longest key that is read from a peer's message. */
const MAX_CUSTOMER_KEY_LENGTH = 16;

/** Short key of a customer in load items; equal at all processes. */
export const getCustomerKey = (customer: string): string =>
  createHash("sha1").update(customer).digest("hex").slice(0, KEY_LENGTH);

/** True for what a load item may have as its customer. */
export const isOptionalCustomerKey = (value: unknown): boolean =>
  value === undefined || (typeof value === "string" && value.length <= MAX_CUSTOMER_KEY_LENGTH);

/** Key of a load item's customer, where customers have shares. */
export const customerKeySchema = z.string().max(MAX_CUSTOMER_KEY_LENGTH).optional();
