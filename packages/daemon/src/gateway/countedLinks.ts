import {
  CrossingCause,
  LimitedControl,
  type ColdUpstreams,
  type Connector,
  type CrossedBytes,
  type FleetView,
  type SendQuota,
  type UpstreamLinks,
  type UpstreamTransport,
} from "@lycheepulley/forwarding";

/** Transport and control of upstreams whose bytes between failure domains are counted. */
export const newCountedLinks = (
  links: UpstreamLinks,
  options: {
    connector: Connector;
    crossed: CrossedBytes;
    view: FleetView;
    cold: ColdUpstreams;
    quota: SendQuota;
  },
): { transport: UpstreamTransport; control: LimitedControl } => {
  const { connector, crossed, view, cold, quota } = options;
  const transport = links.newTransport(connector);
  const getUpstreams = (): ReturnType<FleetView["upstreams"]["values"]> => view.upstreams.values();
  const { Prompts, Answers, Orders } = CrossingCause;
  const orders = crossed.watch(transport, { sent: Orders, received: Orders }, getUpstreams);
  return {
    transport: crossed.watch(transport, { sent: Prompts, received: Answers }, getUpstreams),
    control: new LimitedControl(links.newControl(orders, cold), quota),
  };
};
