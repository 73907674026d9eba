import { vmSchema, type Clock, type Vm, type VmList } from "@lycheepulley/core";
import { readBody, sendJson, type Route } from "@lycheepulley/http";
import { z } from "zod";

const EMPTY_LIST: VmList = { version: 0, isDelta: false, vms: [], removed: [] };
const MAX_BODY_BYTES = 1_000_000;
/** Command to the stand-in: VMs to put on the list or remove, and its lag. */
const commandSchema = z.strictObject({
  put: z.array(vmSchema).optional(),
  remove: z.array(z.string()).optional(),
  lagMs: z.number().nonnegative().optional(),
});

/** Simulates the platform's VM list, which shows changes only after a lag. */
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

  /** Adds VMs, replacing those with the same id. */
  put(vms: readonly Vm[]): void {
    const ids = new Set(vms.map((vm) => vm.id));
    this.#addVersion((old) => [...old.filter((vm) => !ids.has(vm.id)), ...vms]);
  }

  /** Removes the VMs with these ids. */
  remove(ids: readonly string[]): void {
    this.#addVersion((old) => old.filter((vm) => !ids.includes(vm.id)));
  }

  /** The list as it was `lagMs` ago; older versions are dropped from the history. */
  get visible(): VmList {
    const visibleUntilMs = this.#clock.now() - this.#lagMs;
    const visible = this.#history.filter(({ atMs }) => atMs <= visibleUntilMs);
    const newest = visible.at(-1);
    if (newest) {
      this.#history = this.#history.slice(visible.length - 1);
    }
    return newest?.list ?? EMPTY_LIST;
  }

  get routes(): Route[] {
    return [
      {
        method: "GET",
        path: "/v1/vms",
        handle: (_req, res, _params, url) => {
          sendJson(res, 200, this.#newResponse(url.searchParams.get("since")));
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

  /** The whole list, or the changes since `since` if that version is known. */
  #newResponse(since: string | null): VmList {
    const list = this.visible;
    const old = since === null ? undefined : this.#versions.get(Number(since));
    if (!old) {
      return list;
    }
    const oldJsonById = new Map(old.vms.map((vm) => [vm.id, JSON.stringify(vm)]));
    const currentIds = new Set(list.vms.map((vm) => vm.id));
    return {
      version: list.version,
      isDelta: true,
      vms: list.vms.filter((vm) => oldJsonById.get(vm.id) !== JSON.stringify(vm)),
      removed: old.vms.map((vm) => vm.id).filter((id) => !currentIds.has(id)),
    };
  }

  /** Adds a new version of the list. */
  #addVersion(update: (old: readonly Vm[]) => Vm[]): void {
    const last = this.#history.at(-1)?.list ?? EMPTY_LIST;
    const list = { ...last, version: last.version + 1, vms: update(last.vms) };
    this.#versions.set(list.version, list);
    this.#history.push({ atMs: this.#clock.now(), list });
  }
}
