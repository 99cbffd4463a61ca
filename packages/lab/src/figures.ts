import type { Arrival } from './traffic.js'

/** How an arrival ended for its caller. */
export type CallerEnd = 'complete' | 'failed' | 'refused' | 'left'

/** An arrival with its end. */
export interface Outcome {
  arrival: Arrival
  end: CallerEnd
  /** From the first send to the answer, in ms. */
  responseMs: number
  /** Refused while an endpoint had room for one of its tasks. */
  hadFreeCapacity: boolean
}

/** What a run counts besides outcomes. */
export interface Counts {
  frames: number
  bytes: number
  /** Shares of a core that processes of each role used on average, as far as they are charged. */
  entryCores: number
  agentCores: number
  starts: number
  /** Starts that found no room. */
  startsInVain: number
  /** Calls of endpoints that cost a connection each. */
  connections: number
  /** Core-seconds of work stopped, lapsed or failed. */
  wasted: number
  tasksDone: number
  /** Looks at the world while a job waited anywhere, and the free part of all capacity at each, summed up. */
  waitingSamples: number
  idleShareSum: number
  /** Two runs of a task at a time, or an endpoint over its capacity: bugs. */
  violations: string[]
}

/** Figures of a run, all between 0 and 1 unless said otherwise; higher is better for the first five. */
export interface Figures {
  /** Value earned over value asked: whole in time, a fifth up to three times the objective, by weight. */
  worth: number
  inTime: number
  worstKind: number
  worstZone: number
  /** The two worst windows of two seconds. */
  worstWindows: number
  /** The largest tenth of the jobs of each kind. */
  largest: number
  refused: number
  /** Of all: refused while an endpoint had room. */
  refusedWithRoom: number
  /** Of all: refused after more than a quarter of the objective. */
  refusedLate: number
  /** Free part of all capacity while a job waited anywhere. */
  idleWhileWaiting: number
  /** Mean of response time over the longest run, of those served. */
  slowdown: number
  framesPerTask: number
  bytesPerTask: number
  /** Shares of a core. */
  entryCores: number
  agentCores: number
  startsInVain: number
  connections: number
  /** Core-seconds. */
  wasted: number
  violations: number
}

const LATE_VALUE = 0.2
const LATE_FACTOR = 3
const WINDOW_MS = 2000
const LATE_REFUSAL_FACTOR = 0.25

const valueOf = ({ arrival: { objectiveMs }, end, responseMs: ms }: Outcome): number => {
  if (end !== 'complete') return 0
  if (ms <= objectiveMs) return 1
  return ms <= LATE_FACTOR * objectiveMs ? LATE_VALUE : 0
}

/** Nobody is owed an answer who left before it could come in time, or whose job cannot be done. */
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

/** Share in time of each second, for plots. */
export const inTimeBySecond = (outcomes: Outcome[], seconds: number): Array<number | null> =>
  Array.from({ length: Math.ceil(seconds) }, (_, second) => {
    const those = outcomes.filter((outcome) => isCounted(outcome) && Math.floor(outcome.arrival.at / 1000) === second)
    return those.length === 0 ? null : shareOf(those, (outcome) => valueOf(outcome) === 1)
  })

/** Nothing counted yet. */
export const createCounts = (): Counts => ({
  frames: 0, bytes: 0, entryCores: 0, agentCores: 0, starts: 0, startsInVain: 0, connections: 0, wasted: 0, tasksDone: 0, waitingSamples: 0, idleShareSum: 0, violations: []
})

/** Sums a run up. */
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
    refusedWithRoom: refusedShare(({ hadFreeCapacity: roomWasFree }) => roomWasFree),
    refusedLate: refusedShare(({ responseMs: ms, arrival }) => ms > LATE_REFUSAL_FACTOR * arrival.objectiveMs),
    idleWhileWaiting: counts.idleShareSum / Math.max(1, counts.waitingSamples),
    slowdown: served.reduce((sum, { responseMs: ms, arrival }) => sum + ms / arrival.job.longestRunMs, 0) / Math.max(1, served.length),
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
