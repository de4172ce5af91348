import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { RequestBoard } from '../control/requests/sections.js';
import { addGauge } from './addGauge.js';

/** Adds the metrics of quotas to a registry. */
export function addQuotaMetrics(registry: Registry, board: RequestBoard): void {
  new Gauge({
    name: 'hemlock_quota_tokens',
    help: 'Requests of organisations with a quota that entered here, by organisation and whether they were granted or refused',
    labelNames: ['organisation', 'result'] as const,
    registers: [registry],
    collect() {
      for (const [organisation, { granted, refused }] of board.read('quotas').counts) {
        this.set({ organisation, result: 'granted' }, granted);
        this.set({ organisation, result: 'refused' }, refused);
      }
    },
  });
  const readShares = (): number => board.read('quotas').pool.shares;
  addGauge(registry, 'hemlock_quota_shares', 'Part of all quotas that is lent to this node', readShares);
  addGauge(registry, 'hemlock_quota_loans', 'Nodes that lend their share to this node', () => {
    let loans = 0;
    for (const { share } of board.read('quotas').pool.loans.values()) if (share > 0) loans++;
    return loans;
  });
}
