import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { ReservationManager } from "./ReservationManager.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newUpstream } from "./testing/samples.js";

describe("ReservationManager", () => {
  const CASES = [
    { name: "accepted renewals", answers: [true, true, true], warnings: 0 },
    { name: "a refused renewal", answers: [true, false, true], warnings: 1 },
    { name: "renewals without an answer", answers: [true, undefined, undefined], warnings: 2 },
  ];
  for (const { name, answers, warnings } of CASES) {
    // Guards against reservations that lapse unnoticed.
    it(`logs ${String(warnings)} of ${name}`, async () => {
      const clock = new ManualClock();
      const left = [...answers];
      const logged: unknown[] = [];
      const manager = new ReservationManager({
        clock,
        control: {
          isAlive: () => Promise.resolve(true),
          reserve: () => {
            const answer = left.shift();
            return answer === undefined
              ? Promise.reject(new Error("reset"))
              : Promise.resolve(answer);
          },
          release: () => Promise.resolve(),
        },
        logger: {
          ...newSilentLogger(),
          warn: (message, fields) => {
            logged.push({ message, ...fields });
          },
        },
      });
      const reservations = await manager.reserveAll("r", [
        { upstream: newUpstream("u"), tokens: 10 },
      ]);
      await clock.advance(2_500);
      reservations?.release();
      await clock.advance(2_500);
      const warning = { message: "reservation not renewed", requestId: "r", step: "reserve" };
      expect(logged).to.deep.equal(Array(warnings).fill({ ...warning, peer: "u" }));
    });
  }

  const LATE = [
    { name: "a renewal", unanswered: 2, lateMs: 4_000 },
    { name: "the first order", unanswered: 1, lateMs: 9_000 },
  ];
  for (const { name, unanswered, lateMs } of LATE) {
    // Memory stayed set aside for nobody when an order without an answer was carried out late.
    it(`releases memory that ${name} sets aside after its request ended`, async () => {
      const clock = new ManualClock();
      let orders = 0;
      let isHeld = false;
      const manager = new ReservationManager({
        clock,
        control: {
          isAlive: () => Promise.resolve(true),
          reserve: () => {
            orders += 1;
            if (orders !== unanswered) {
              isHeld = true;
              return Promise.resolve(true);
            }
            clock.setTimer(() => {
              isHeld = true;
            }, lateMs);
            return Promise.reject(new Error("timeout"));
          },
          release: () => {
            isHeld = false;
            return Promise.resolve();
          },
        },
        logger: newSilentLogger(),
      });
      const requests = [{ upstream: newUpstream("u"), tokens: 10 }];
      const reservations = await manager.reserveAll("r", requests);
      await clock.advance(1_500);
      reservations?.release();
      await clock.advance(1_500 + lateMs);
      expect(isHeld).to.equal(false);
      await clock.advance(20_000);
      expect(isHeld).to.equal(false);
    });
  }
});
