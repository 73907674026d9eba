import type { TrafficMeter, Vm } from "@lycheepulley/core";
import { ExtendedEngineClient } from "@lycheepulley/engines";
import { HttpServiceClient } from "@lycheepulley/services";
import { UpstreamDirectory } from "@lycheepulley/serving";

const getOrigin = ({ host, port }: Vm): string => `http://${host}:${String(port)}`;

/** Creates a directory that reaches engines and plain services over HTTP. */
export const newUpstreamDirectory = (traffic: TrafficMeter): UpstreamDirectory =>
  new UpstreamDirectory({
    newEngineClient: (vm) =>
      new ExtendedEngineClient({ name: vm.id, origin: getOrigin(vm), traffic }),
    newServiceClient: (vm) => new HttpServiceClient({ name: vm.id, origin: getOrigin(vm) }),
  });
