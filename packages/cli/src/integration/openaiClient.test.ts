import { getWholeAnswer } from "@lycheepulley/standins";
import { expect } from "chai";
import OpenAI from "openai";

import { SmallFleet } from "./SmallFleet.js";

/** KV memory of an engine in the example's configuration. */
const ENGINE_KV_TOKENS = 400_000;
const BYTES_PER_TOKEN = 4;
const LARGE_PROMPT_BYTES = 1.25 * ENGINE_KV_TOKENS * BYTES_PER_TOKEN;
const LARGE_TIMEOUT_MS = 60_000;
const PROMPT = "La línea de diálogo del capitán, por favor.";

describe("the openai client against real entry processes", () => {
  const fleet = new SmallFleet();
  let client: OpenAI;

  before(async () => {
    await fleet.start(2);
    client = new OpenAI({ baseURL: `${fleet.origins[0] ?? ""}/v1`, apiKey: "key-nutibara" });
  });
  after(() => fleet.stop());

  const chat = {
    model: "traductor",
    max_tokens: 12,
    messages: [{ role: "user" as const, content: PROMPT }],
  };

  it("gets a whole chat answer", async () => {
    const answer = await client.chat.completions.create(chat);
    expect(answer.choices[0]?.message.content).to.equal(getWholeAnswer(PROMPT, 12));
    expect(answer.usage?.completion_tokens).to.equal(12);
  });

  // Guards against prompts divided over engines that fail for the fraction in the time that is left.
  it("gets the answer to a prompt that is larger than one engine", async function () {
    this.timeout(LARGE_TIMEOUT_MS);
    const content = PROMPT.repeat(Math.ceil(LARGE_PROMPT_BYTES / PROMPT.length));
    const answer = await client.chat.completions.create({
      ...chat,
      messages: [{ role: "user", content }],
    });
    expect(answer.usage?.prompt_tokens).to.be.above(ENGINE_KV_TOKENS);
    expect(answer.choices[0]?.message.content).to.equal(getWholeAnswer(content, 12));
  });

  it("streams a chat answer", async () => {
    const parts: string[] = [];
    for await (const event of await client.chat.completions.create({ ...chat, stream: true })) {
      parts.push(event.choices[0]?.delta.content ?? "");
    }
    expect(parts.join("")).to.equal(getWholeAnswer(PROMPT, 12));
  });

  it("gets and streams a text completion", async () => {
    const text = { model: "traductor", max_tokens: 5, prompt: PROMPT };
    const whole = await client.completions.create(text);
    expect(whole.choices[0]?.text).to.equal(getWholeAnswer(PROMPT, 5));
    const parts: string[] = [];
    for await (const event of await client.completions.create({ ...text, stream: true })) {
      parts.push(event.choices[0]?.text ?? "");
    }
    expect(parts.join("")).to.equal(getWholeAnswer(PROMPT, 5));
  });

  it("continues a broken stream from its last event", async () => {
    const headers = { authorization: "Bearer key-nutibara", "x-reconnect-ms": "20000" };
    const origin = fleet.origins[0] ?? "";
    const abort = new AbortController();
    const res = await fetch(`${origin}/v1/chat/completions`, {
      ...{ method: "POST", headers, signal: abort.signal },
      body: JSON.stringify({ ...chat, max_tokens: 300, stream: true }),
    });
    const id = res.headers.get("x-request-id") ?? "";
    const first = await res.body?.getReader().read();
    const received = new TextDecoder().decode(first?.value as Uint8Array);
    const events = received.slice(0, received.lastIndexOf("\n\n")).split("\n\n");
    abort.abort();
    const lastId = events.at(-1)?.match(/^id: (.*)$/m)?.[1] ?? "";
    const resume = (authorization: string): Promise<Response> =>
      fetch(`${origin}/v1/requests/${id}/stream`, {
        headers: { authorization, "last-event-id": lastId },
      });
    expect((await resume("Bearer another")).status).to.equal(410);
    const rest = await resume(headers.authorization);
    const text = [...events, ...(await rest.text()).split("\n\n")]
      .flatMap((event) => /^data: (\{.*)$/m.exec(event)?.[1] ?? [])
      .map((data) => JSON.parse(data) as OpenAI.ChatCompletionChunk)
      .map((chunk) => chunk.choices[0]?.delta.content ?? "");
    expect(text.join("")).to.equal(getWholeAnswer(PROMPT, 300));
  });

  it("lists the models", async () => {
    const models = await client.models.list();
    expect(models.data.map(({ id }) => id)).to.deep.equal(["traductor"]);
  });

  const INVALID_REQUESTS = [
    { name: "an unknown model", change: { model: "none" }, status: 404, param: "model" },
    { name: "no messages", change: { messages: [] }, status: 400, param: "messages" },
    { name: "a negative limit", change: { max_tokens: -1 }, status: 400, param: "max_tokens" },
  ];
  for (const { name, change, status, param } of INVALID_REQUESTS) {
    it(`refuses ${name} and names the field`, async () => {
      let err: unknown;
      try {
        await client.chat.completions.create({ ...chat, ...change });
      } catch (caught) {
        err = caught;
      }
      expect(err).to.be.instanceOf(OpenAI.APIError);
      const apiError = err as InstanceType<typeof OpenAI.APIError>;
      expect(apiError.status).to.equal(status);
      expect(apiError.param).to.equal(param);
      expect(apiError.error).to.include({ verdict: "not_run" });
    });
  }

  it("refuses an unknown key", async () => {
    const unknownClient = new OpenAI({ baseURL: `${fleet.origins[0] ?? ""}/v1`, apiKey: "none" });
    let status: number | undefined;
    await unknownClient.models.list();
    await unknownClient.chat.completions.create(chat).catch((err: unknown) => {
      status = (err as InstanceType<typeof OpenAI.APIError>).status;
    });
    expect(status).to.equal(401);
  });

  it("tells at one process the fate of a request that another accepted", async () => {
    const { response } = await client.chat.completions.create(chat).withResponse();
    const id = response.headers.get("x-request-id") ?? "";
    const res = await fetch(`${fleet.origins[1] ?? ""}/v1/requests/${id}`, {
      headers: { authorization: "Bearer key-nutibara" },
    });
    expect(await res.json()).to.include({
      requestId: id,
      state: "finished",
      className: "dialogue",
    });
  });

  it("runs a non-idempotent call once, wherever its key is sent again", async () => {
    const answers: { status: number; text: string }[] = [];
    for (const origin of [...fleet.origins, ...fleet.origins]) {
      const res = await fetch(`${origin}/services/taller/glossary`, {
        method: "POST",
        headers: { authorization: "Bearer key-nutibara", "idempotency-key": "term-1" },
        body: "término",
      });
      answers.push({ status: res.status, text: await res.text() });
    }
    expect(new Set(answers.map(({ text }) => text)).size).to.equal(1);
    expect(answers.every(({ status }) => status === 201)).to.equal(true);
  });

  it("refuses a non-idempotent call without a key, and a key with another body", async () => {
    const post = async (body: string, key?: string): Promise<Response> =>
      fetch(`${fleet.origins[0] ?? ""}/services/taller/glossary`, {
        method: "POST",
        headers: {
          authorization: "Bearer key-nutibara",
          ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body,
      });
    expect((await post("a")).status).to.equal(400);
    expect((await post("a", "term-2")).status).to.equal(201);
    expect((await post("b", "term-2")).status).to.equal(422);
  });
});
