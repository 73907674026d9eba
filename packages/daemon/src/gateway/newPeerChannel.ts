import type { CrossedBytes, PeerTable } from "@lycheepulley/forwarding";
import { DatagramChannel } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

/** The channel for datagrams between processes, which counts what crosses failure domains. */
export const newPeerChannel = (options: {
  logger: Logger;
  crossed: CrossedBytes;
  peers: PeerTable;
}): DatagramChannel =>
  new DatagramChannel({
    onError: (peer, reason) => {
      options.logger.warn("datagram error", { step: "membership", peer, reason });
    },
    onSent: (peer, bytes) => {
      options.crossed.add("peers", options.peers.getFailureDomain(peer), bytes);
    },
  });
