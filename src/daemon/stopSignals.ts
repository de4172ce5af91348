/**
 * Stops the process gracefully on SIGTERM or the first SIGINT, and exits when that is done. Another SIGTERM does not cut the
 * stop short; a second SIGINT does, for people at a terminal.
 */
export function handleStopSignals(stop: () => Promise<void>): void {
  let isStopping = false;
  const handleSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', handleSignal);
  process.once('SIGINT', handleSignal);
}
