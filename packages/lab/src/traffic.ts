import type { Random } from '@hazellift/common'
import { drawExponential, randomStream } from './draw.js'
import { drawJob } from './drawJob.js'
import type { SimulatedJob } from './drawJob.js'
import type { JobKind, Scenario, Trouble } from './scenario.js'

/** A job with its moment and its caller. */
export interface Arrival {
  /** In ms from the start of the traffic. */
  at: number
  job: SimulatedJob
  zone: number
  /** The client of its zone that sends it, where clients are told apart. */
  client: number | undefined
  /** How long its caller waits, in ms. */
  patienceMs: number
  /** The answer is in time within so many ms. */
  objectiveMs: number
}

/** Part of their time after which callers leave, where they do. */
const LEAVE_AFTER_SHARE = { from: 0.1, to: 0.7 }

const isActive = ({ at, for: length }: Trouble, second: number): boolean => second >= at && second < at + length

const arrivalRate = ({ troubles }: Scenario, { name, perSecond }: JobKind, second: number): number =>
  troubles.reduce((rate, trouble) => {
    const applies = trouble.kind === 'burst' && isActive(trouble, second) && (trouble.of === undefined || trouble.of === name)
    return applies ? rate * trouble.x : rate
  }, perSecond)

const activeShare = ({ troubles }: Scenario, kind: 'callers_leave' | 'hopeless_jobs', second: number): number =>
  troubles.reduce((most, trouble) => trouble.kind === kind && isActive(trouble, second) ? Math.max(most, trouble.share) : most, 0)

const drawArrivals = (scenario: Scenario, kind: JobKind, random: Random, prefix: string): Arrival[] => {
  const arrivals: Arrival[] = []
  const { objective: { stretch, slackMs }, patience, zones, seconds, clientsPerZone } = scenario
  for (let at = 0; ;) {
    at += drawExponential(random, 1000 / arrivalRate(scenario, kind, at / 1000))
    if (at >= seconds * 1000) return arrivals
    const isHopeless = random() < activeShare(scenario, 'hopeless_jobs', at / 1000)
    const job = drawJob(random, kind, `${prefix}${arrivals.length}`, isHopeless)
    const objectiveMs = stretch * job.longestRunMs + slackMs
    const leaves = random() < activeShare(scenario, 'callers_leave', at / 1000)
    const leaveAfter = LEAVE_AFTER_SHARE.from + random() * (LEAVE_AFTER_SHARE.to - LEAVE_AFTER_SHARE.from)
    const patienceMs = patience * objectiveMs * (leaves ? leaveAfter : 1)
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
    .flatMap((kind, index) => drawArrivals(scenario, kind, randomStream(seed, index), `${index}.`))
    .sort((a, b) => a.at - b.at)
