/** Calls `fn` once the requests that the system holds for the process have been read. */
export const afterReading = (fn: () => void): void => {
  // The runtime reads sockets between its timers and these callbacks.
  setImmediate(fn);
};
