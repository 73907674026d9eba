import { SeededRandom, type Clock } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { QuotaOwner } from "../limits/QuotaOwner.js";
import { SendQuota } from "../limits/SendQuota.js";
import type { UpstreamLimits } from "../limits/UpstreamLimits.js";
import { UpstreamRests } from "../limits/UpstreamRests.js";
import type { Members } from "../members.js";

/** Rests that upstreams asked for, with a fixed seed. */
export const newRests = (clock: Clock): UpstreamRests =>
  new UpstreamRests({ clock, random: new SeededRandom(1), logger: newSilentLogger() });

/** The quotas of a process without peers. */
export const newLoneSendQuota = (
  clock: Clock,
  limits: UpstreamLimits,
  rests = newRests(clock),
): SendQuota => {
  const getMembers = (): Members => ({ self: "n0", hosts: ["n0"], known: 0 });
  return new SendQuota({
    ...{ clock, limits, rests, getMembers, logger: newSilentLogger() },
    owner: new QuotaOwner({ clock, limits, getMembers }),
    peers: { ask: () => Promise.reject(new Error("no peers")), charge: () => undefined },
  });
};
