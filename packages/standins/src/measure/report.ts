import Table from 'cli-table3'
import { build } from 'hdr-histogram-js'
import { centralQueueMs } from './centralQueue.js'
import { NEIGHBOUR_WORKSPACE } from './neighbours.js'
import { sumByLabel, increase, total } from './scrape.js'
import type { Scrape } from './scrape.js'
import type { JobOutcome, Quantiles, TrialReport } from './types.js'

/** Ratios are kept with three digits after the point. */
const RATIO_SCALE = 1000
/** Workspaces that a trial sets against the others. */
const DISRUPTIVE_WORKSPACES: ReadonlySet<string> = new Set(['bursty', NEIGHBOUR_WORKSPACE])
const KEEP_ALIVE = 'keep_alive'

/** What is counted before and after a load. */
export interface Counts {
  entries: Scrape[]
  agents: Scrape[]
  store: { reads: number, writes: number, rowsWritten: number }
}

/** Quantiles of some numbers, NaN where there are none. */
export const quantilesOf = (values: number[]): Quantiles => {
  if (values.length === 0) return { p50: NaN, p95: NaN, p99: NaN }
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(Math.max(1, Math.round(value * RATIO_SCALE)))
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / RATIO_SCALE
  return { p50: at(50), p95: at(95), p99: at(99) }
}

const countOutcomes = (outcomes: JobOutcome[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const { outcome } of outcomes) counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}

const cpuMs = (before: Scrape[], after: Scrape[]): number => {
  const sum = (scrapes: Scrape[]) => scrapes.reduce((seconds, metrics) => seconds + total(metrics, 'process_cpu_seconds_total'), 0)
  return (sum(after) - sum(before)) * 1000
}

const memoryMb = (scrapes: Scrape[]): number =>
  Math.max(...scrapes.map((metrics) => total(metrics, 'process_resident_memory_bytes'))) / 1e6

/** Starts that were for nothing cost two messages, and so do credits that came for nothing: the grant and the return. */
const wastedMessages = (kinds: Record<string, number>, reasons: Record<string, number>): number => {
  const starts = Object.values(reasons).reduce((sum, count) => sum + count, 0)
  return 2 * (starts + (kinds['return'] ?? 0))
}

const responseReport = (outcomes: JobOutcome[], slots: number) => {
  const queue = centralQueueMs(outcomes.map(({ job }) => job), slots)
  const complete = outcomes.filter(({ outcome }) => outcome === 'complete')
  const undisturbed = complete.filter(({ job }) => !DISRUPTIVE_WORKSPACES.has(job.workspace))
  return {
    overIdeal: quantilesOf(complete.map(({ job, responseMs }) => responseMs / Math.max(...job.taskMs))),
    overQueue: quantilesOf(complete.map(({ job, responseMs }) => responseMs / queue.get(job.id)!)),
    responseMs: quantilesOf(complete.map(({ responseMs }) => responseMs)),
    quietResponseMs: quantilesOf(undisturbed.map(({ responseMs }) => responseMs)),
    queueMs: quantilesOf(complete.map(({ job }) => queue.get(job.id)!))
  }
}

/** What a trial was. */
export type TrialIdentity = Pick<TrialReport, 'rule' | 'share' | 'fault'>

/**
 * Puts together what a trial measured.
 *
 * @param identity - which trial
 * @param outcomes - of all jobs
 * @param before - counts before the load
 * @param after - counts after it
 * @param seconds - time between both
 * @param slots - of all endpoints together
 */
export const createReport = (identity: TrialIdentity, outcomes: JobOutcome[], before: Counts, after: Counts, seconds: number, slots: number): TrialReport => {
  const tasks = outcomes.reduce((sum, { job }) => sum + job.taskMs.length, 0)
  const kindsOf = ({ entries }: Counts) => sumByLabel(entries, 'hazellift_messages_total', 'kind')
  const kinds = increase(kindsOf(before), kindsOf(after))
  const reasonsOf = ({ entries }: Counts) => sumByLabel(entries, 'hazellift_wasted_starts_total', 'reason')
  const reasons = increase(reasonsOf(before), reasonsOf(after))
  const messages = Object.entries(kinds).reduce((sum, [kind, count]) => sum + (kind === KEEP_ALIVE ? 0 : count), 0)
  const perThousand = (ms: number) => ms / tasks * 1000
  return {
    ...identity,
    seconds,
    jobs: outcomes.length,
    tasks,
    outcomes: countOutcomes(outcomes),
    ...responseReport(outcomes, slots),
    messagesPerTask: messages / tasks,
    messagesByKind: kinds,
    wastedShare: wastedMessages(kinds, reasons) / messages,
    wastedByReason: reasons,
    cpuMsPerThousand: { entry: perThousand(cpuMs(before.entries, after.entries)), agent: perThousand(cpuMs(before.agents, after.agents)) },
    memoryMb: { entry: memoryMb(after.entries), agent: memoryMb(after.agents) },
    storeReadsPerSecond: (after.store.reads - before.store.reads) / seconds,
    storeWritesPerSecond: (after.store.writes - before.store.writes) / seconds,
    rowsPerSecond: (after.store.rowsWritten - before.store.rowsWritten) / seconds
  }
}

const formatNumber = (value: number, digits = 3): string => value.toFixed(digits)

const formatQuantiles = ({ p50, p95, p99 }: Quantiles, digits: number): string =>
  [p50, p95, p99].map((value) => formatNumber(value, digits)).join(' / ')

const formatCounts = (counts: Record<string, number>): string =>
  Object.entries(counts).map(([key, count]) => `${key} ${count}`).join(', ')

/** Prints the reports as tables. */
export const printReports = (reports: TrialReport[]): void => {
  const times = new Table({ head: ['load', 'rule', 'jobs', 'tasks', 'over ideal p50/p95/p99', 'over queue p50/p95/p99', 'ms p50/p95/p99', 'queue ms', 'msg/task', 'wasted'], style: { head: [], border: [] } })
  for (const r of reports) {
    times.push([formatNumber(r.share, 2), r.rule, r.jobs, r.tasks, formatQuantiles(r.overIdeal, 2), formatQuantiles(r.overQueue, 3),
      formatQuantiles(r.responseMs, 0), formatQuantiles(r.queueMs, 0), formatNumber(r.messagesPerTask), `${formatNumber(r.wastedShare * 100, 2)}%`])
  }
  const costs = new Table({ head: ['load', 'rule', 'entry cpu ms/1000', 'agent cpu ms/1000', 'MB entry/agent', 'reads/s', 'writes/s', 'rows/s', 'quiet ms p50/p95/p99'], style: { head: [], border: [] } })
  for (const r of reports) {
    costs.push([formatNumber(r.share, 2), r.rule, formatNumber(r.cpuMsPerThousand['entry']!, 0), formatNumber(r.cpuMsPerThousand['agent']!, 0),
      `${formatNumber(r.memoryMb['entry']!, 0)} / ${formatNumber(r.memoryMb['agent']!, 0)}`, formatNumber(r.storeReadsPerSecond, 0), formatNumber(r.storeWritesPerSecond, 0),
      formatNumber(r.rowsPerSecond, 0), formatQuantiles(r.quietResponseMs, 0)])
  }
  process.stdout.write(`${times.toString()}\n${costs.toString()}\n`)
  for (const r of reports) {
    process.stdout.write(`${formatNumber(r.share, 2)} ${r.rule} ${r.fault}: ${formatCounts(r.outcomes)}; messages: ${formatCounts(r.messagesByKind)}; wasted starts: ${formatCounts(r.wastedByReason) || 'none'}\n`)
  }
}
