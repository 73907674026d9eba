import { vmSchema, type Clock, type Vm, type VmList } from "@lycheepulley/core";
import { readBody, sendJson, type Route } from "@lycheepulley/http";
import { z } from "zod";

const EMPTY_LIST: VmList = { version: 0, isDelta: false, vms: [], removed: [] };
const MAX_BODY_BYTES = 1_000_000;
const commandSchema = z.strictObject({
  put: z.array(vmSchema).optional(),
  remove: z.array(z.string()).optional(),
  lagMs: z.number().nonnegative().optional(),
});

/** Model of the platform's lagging list of VMs. */
export class VmListStandin {
  readonly #clock: Clock;
  #history: { atMs: number; list: VmList }[];
  #lagMs: number;
  readonly #versions = new Map<number, VmList>([[0, EMPTY_LIST]]);

  constructor(options: { clock: Clock; lagMs: number }) {
    this.#clock = options.clock;
    this.#lagMs = options.lagMs;
    this.#history = [{ atMs: -Infinity, list: EMPTY_LIST }];
  }

  put(vms: readonly Vm[]): void {
    const ids = new Set(vms.map((vm) => vm.id));
    this.#change((old) => [...old.filter((vm) => !ids.has(vm.id)), ...vms]);
  }

  remove(ids: readonly string[]): void {
    this.#change((old) => old.filter((vm) => !ids.includes(vm.id)));
  }

  /** The list as it was `lagMs` ago. */
  get visible(): VmList {
    const until = this.#clock.now() - this.#lagMs;
    const seen = this.#history.filter(({ atMs }) => atMs <= until);
    const newest = seen.at(-1);
    if (newest) {
      this.#history = this.#history.slice(seen.length - 1);
    }
    return newest?.list ?? EMPTY_LIST;
  }

  get routes(): Route[] {
    return [
      {
        method: "GET",
        path: "/v1/vms",
        handle: (_req, res, _params, url) => {
          sendJson(res, 200, this.#getAnswer(url.searchParams.get("since")));
        },
      },
      {
        method: "POST",
        path: "/standin/vms",
        handle: async (req, res) => {
          const body: unknown = JSON.parse((await readBody(req, MAX_BODY_BYTES)).toString());
          const command = commandSchema.parse(body);
          this.#lagMs = command.lagMs ?? this.#lagMs;
          this.put(command.put ?? []);
          this.remove(command.remove ?? []);
          sendJson(res, 200, {});
        },
      },
    ];
  }

  /** Whole list, or the change since a version that is still known. */
  #getAnswer(since: string | null): VmList {
    const list = this.visible;
    const old = since === null ? undefined : this.#versions.get(Number(since));
    if (!old) {
      return list;
    }
    const before = new Map(old.vms.map((vm) => [vm.id, JSON.stringify(vm)]));
    const now = new Set(list.vms.map((vm) => vm.id));
    return {
      version: list.version,
      isDelta: true,
      vms: list.vms.filter((vm) => before.get(vm.id) !== JSON.stringify(vm)),
      removed: old.vms.map((vm) => vm.id).filter((id) => !now.has(id)),
    };
  }

  #change(update: (old: readonly Vm[]) => Vm[]): void {
    const last = this.#history.at(-1)?.list ?? EMPTY_LIST;
    const list = { ...last, version: last.version + 1, vms: update(last.vms) };
    this.#versions.set(list.version, list);
    this.#history.push({ atMs: this.#clock.now(), list });
  }
}
