import type { Arrival } from './traffic.js'

/** How a job ended for its caller; `left` is a caller that stopped waiting. */
export type CallerEnd = 'complete' | 'failed' | 'refused' | 'left'

/** A job's arrival and how it ended. */
export interface Outcome {
  arrival: Arrival
  end: CallerEnd
  /** From the first send to the answer, in ms. */
  responseMs: number
  /** Refused while an endpoint had free capacity for one of its tasks. */
  hadFreeCapacity: boolean
}

/** What a run of a scenario counts besides the outcomes of jobs. */
export interface Counts {
  frames: number
  bytes: number
  /** Cores that a process of each role used on average, for the work that has a simulated CPU cost. */
  entryCores: number
  agentCores: number
  starts: number
  /** Starts that agents refused for lack of free capacity. */
  startsInVain: number
  /** Calls to endpoints that got no answer in time; each costs a connection. */
  connections: number
  /** Core-seconds of runs that were stopped, whose run lease expired, or that failed. */
  wasted: number
  tasksDone: number
  /** Samples taken while a job waited at any entry, and the sum over them of the free share of all capacity. */
  waitingSamples: number
  idleShareSum: number
  /** Violated invariants, each a bug: two runs of a task at a time, or an endpoint over its capacity. */
  violations: string[]
}

/** Figures of a run of a scenario: shares from 0 to 1 unless stated otherwise. Higher is better up to `largest`, lower is better after it. */
export interface Figures {
  /** Earned share of the weight of all jobs: a job in time earns all of its weight, one within three times its objective a fifth. */
  worth: number
  /** Share of the jobs that are answered within their objective. */
  inTime: number
  /** `worth` of the worst kind of job. */
  worstKind: number
  /** `worth` of the worst zone. */
  worstZone: number
  /** Mean `worth` of the two worst windows of two seconds. */
  worstWindows: number
  /** `worth` of the largest tenth of the jobs of each kind. */
  largest: number
  /** Share of all jobs. */
  refused: number
  /** Share of all jobs: refused while an endpoint had free capacity. */
  refusedWithRoom: number
  /** Share of all jobs: refused after more than a quarter of their objective. */
  refusedLate: number
  /** Mean free share of all capacity while a job waited at any entry. */
  idleWhileWaiting: number
  /** Mean of the response time divided by the longest run, over completed jobs. */
  slowdown: number
  framesPerTask: number
  bytesPerTask: number
  /** Mean cores used by a process. */
  entryCores: number
  agentCores: number
  /** Share of the starts that agents refused for lack of free capacity. */
  startsInVain: number
  /** Calls to endpoints that got no answer in time. */
  connections: number
  /** Core-seconds of runs that did not succeed. */
  wasted: number
  violations: number
}

/** Share of its weight that a late job earns, if it is answered within LATE_FACTOR times its objective. */
const LATE_VALUE = 0.2
const LATE_FACTOR = 3
const WINDOW_MS = 2000
const LATE_REFUSAL_FACTOR = 0.25

const valueOf = ({ arrival: { objectiveMs }, end, responseMs }: Outcome): number => {
  if (end !== 'complete') return 0
  if (responseMs <= objectiveMs) return 1
  return responseMs <= LATE_FACTOR * objectiveMs ? LATE_VALUE : 0
}

/** Leaves out jobs whose caller would leave before the objective and jobs that cannot succeed, as no decision can change their result. */
const isCounted = ({ arrival: { job, patienceMs, objectiveMs } }: Outcome): boolean =>
  patienceMs >= objectiveMs && !job.tasks.every(({ fails }) => fails)

const worthOf = (outcomes: Outcome[]): number => {
  let earned = 0
  let possible = 0
  for (const outcome of outcomes) {
    possible += outcome.arrival.job.weight
    earned += outcome.arrival.job.weight * valueOf(outcome)
  }
  return possible === 0 ? 1 : earned / possible
}

const groupBy = (outcomes: Outcome[], keyOf: (outcome: Outcome) => string | number): Outcome[][] => {
  const byKey = new Map<string | number, Outcome[]>()
  for (const outcome of outcomes) byKey.set(keyOf(outcome), [...byKey.get(keyOf(outcome)) ?? [], outcome])
  return [...byKey.values()]
}

const worstOf = (all: Outcome[][], count = 1): number => {
  const worst = all.map(worthOf).sort((a, b) => a - b).slice(0, count)
  return worst.reduce((sum, worth) => sum + worth, 0) / Math.max(1, worst.length)
}

const largestTenth = (outcomes: Outcome[]): Outcome[] =>
  groupBy(outcomes, ({ arrival }) => arrival.job.kind.name).flatMap((kind) =>
    [...kind].sort((a, b) => b.arrival.job.weight - a.arrival.job.weight).slice(0, Math.ceil(kind.length / 10)))

const shareOf = (outcomes: Outcome[], matches: (outcome: Outcome) => boolean): number =>
  outcomes.length === 0 ? 0 : outcomes.filter(matches).length / outcomes.length

/** Share of the jobs in time by second of arrival; null for a second without jobs. */
export const inTimeBySecond = (outcomes: Outcome[], seconds: number): Array<number | null> =>
  Array.from({ length: Math.ceil(seconds) }, (_, second) => {
    const arrived = outcomes.filter((outcome) => isCounted(outcome) && Math.floor(outcome.arrival.at / 1000) === second)
    return arrived.length === 0 ? null : shareOf(arrived, (outcome) => valueOf(outcome) === 1)
  })

/** Counts at the start of a run. */
export const createCounts = (): Counts => ({
  frames: 0, bytes: 0, entryCores: 0, agentCores: 0, starts: 0, startsInVain: 0, connections: 0, wasted: 0, tasksDone: 0, waitingSamples: 0, idleShareSum: 0, violations: []
})

/** Computes the figures of a run. */
export const computeFigures = (all: Outcome[], counts: Counts): Figures => {
  const outcomes = all.filter(isCounted)
  const served = outcomes.filter(({ end }) => end === 'complete')
  const refusedShare = (matches: (outcome: Outcome) => boolean) => shareOf(outcomes, (outcome) => outcome.end === 'refused' && matches(outcome))
  return {
    worth: worthOf(outcomes),
    inTime: shareOf(outcomes, (outcome) => valueOf(outcome) === 1),
    worstKind: worstOf(groupBy(outcomes, ({ arrival }) => arrival.job.kind.name)),
    worstZone: worstOf(groupBy(outcomes, ({ arrival }) => arrival.zone)),
    worstWindows: worstOf(groupBy(outcomes, ({ arrival }) => Math.floor(arrival.at / WINDOW_MS)), 2),
    largest: worthOf(largestTenth(outcomes)),
    refused: refusedShare(() => true),
    refusedWithRoom: refusedShare(({ hadFreeCapacity }) => hadFreeCapacity),
    refusedLate: refusedShare(({ responseMs, arrival }) => responseMs > LATE_REFUSAL_FACTOR * arrival.objectiveMs),
    idleWhileWaiting: counts.idleShareSum / Math.max(1, counts.waitingSamples),
    slowdown: served.reduce((sum, { responseMs, arrival }) => sum + responseMs / arrival.job.longestRunMs, 0) / Math.max(1, served.length),
    framesPerTask: counts.frames / Math.max(1, counts.tasksDone),
    bytesPerTask: counts.bytes / Math.max(1, counts.tasksDone),
    entryCores: counts.entryCores,
    agentCores: counts.agentCores,
    startsInVain: counts.startsInVain / Math.max(1, counts.starts),
    connections: counts.connections,
    wasted: counts.wasted,
    violations: counts.violations.length
  }
}
