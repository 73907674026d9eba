import { expect } from "chai";

import { Expected, INVALID_MARK, type AnswerCase } from "./answers.js";
import { PACES, RawServer } from "./RawServer.js";

/** What a reader made of an answer. */
export interface ReadAnswer {
  readonly isAnswer: boolean;
  readonly status?: number | undefined;
  /** All that was passed on of head and body; undefined when nothing was. */
  readonly passedOn?: string | undefined;
}

/** Reads each answer at each pace, from a server of its own. */
export const testAnswers = (
  cases: readonly AnswerCase[],
  read: (server: RawServer) => Promise<ReadAnswer>,
): void => {
  for (const { name, bytes, expected, status } of cases) {
    const outcome = expected === Expected.Answer ? "takes" : "refuses";
    // Guards against invalid answers that are passed on, with their lines or with the body of another.
    it(`${outcome} an answer with ${name}`, async () => {
      const answers = await Promise.all(
        PACES.map(async (pace) => {
          const server = new RawServer();
          await server.listen();
          server.answerWith(bytes, pace);
          const answer = await read(server);
          server.close();
          return answer;
        }),
      );
      for (const { isAnswer, status: seen, passedOn } of answers) {
        expect(isAnswer).to.equal(expected === Expected.Answer);
        if (expected === Expected.Answer) {
          expect(seen).to.equal(status);
        } else {
          expect(passedOn ?? "").to.not.include(INVALID_MARK);
        }
        if (expected === Expected.NoAnswer) {
          expect(passedOn).to.equal(undefined);
        }
      }
    });
  }
};
