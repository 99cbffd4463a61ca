import type { Random } from '@hazellift/common'
import { gap, sourceOf } from './draw.js'
import { drawJob } from './jobDraw.js'
import type { DrawnJob } from './jobDraw.js'
import type { JobKind, Scenario, Trouble } from './scenario.js'

/** A job with its moment and its caller. */
export interface Arrival {
  /** In ms from the start of the traffic. */
  at: number
  job: DrawnJob
  zone: number
  /** The client of its zone that sends it, where clients are told apart. */
  client: number | undefined
  /** How long its caller waits, in ms. */
  patienceMs: number
  /** The answer is in time within so many ms. */
  objectiveMs: number
}

/** Part of their time after which callers leave, where they do. */
const LEAVE_SHARE = { from: 0.1, to: 0.7 }

const isOn = ({ at, for: length }: Trouble, second: number): boolean => second >= at && second < at + length

const rateOf = ({ troubles }: Scenario, { name, perSecond }: JobKind, second: number): number =>
  troubles.reduce((rate, trouble) => {
    const counts = trouble.kind === 'burst' && isOn(trouble, second) && (trouble.of === undefined || trouble.of === name)
    return counts ? rate * trouble.x : rate
  }, perSecond)

const shareOf = ({ troubles }: Scenario, kind: 'callers_leave' | 'hopeless_jobs', second: number): number =>
  troubles.reduce((most, trouble) => trouble.kind === kind && isOn(trouble, second) ? Math.max(most, trouble.share) : most, 0)

const arrivalsOf = (scenario: Scenario, kind: JobKind, random: Random, prefix: string): Arrival[] => {
  const arrivals: Arrival[] = []
  const { objective: { stretch, slackMs }, patience, zones, seconds, clientsPerZone } = scenario
  for (let at = 0; ;) {
    at += gap(random, 1000 / rateOf(scenario, kind, at / 1000))
    if (at >= seconds * 1000) return arrivals
    const isHopeless = random() < shareOf(scenario, 'hopeless_jobs', at / 1000)
    const job = drawJob(random, kind, `${prefix}${arrivals.length}`, isHopeless)
    const objectiveMs = stretch * job.longestMs + slackMs
    const leaves = random() < shareOf(scenario, 'callers_leave', at / 1000)
    const part = LEAVE_SHARE.from + random() * (LEAVE_SHARE.to - LEAVE_SHARE.from)
    const patienceMs = patience * objectiveMs * (leaves ? part : 1)
    const zone = Math.floor(random() * zones)
    const client = clientsPerZone === undefined ? undefined : Math.floor(random() * clientsPerZone)
    arrivals.push({ at, job, zone, client, patienceMs, objectiveMs })
  }
}

/**
 * All jobs of a scenario, in the order of their arrival. It depends on the seed
 * alone, so that whatever is compared meets the same load.
 */
export const drawTraffic = (scenario: Scenario, seed: number): Arrival[] =>
  scenario.kinds
    .flatMap((kind, index) => arrivalsOf(scenario, kind, sourceOf(seed, index), `${index}.`))
    .sort((a, b) => a.at - b.at)
