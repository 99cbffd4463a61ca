import { rendezvousScore } from '@hazellift/common'
import type { LeasedJobEnd, LeasedJobSpec } from '@hazellift/coordination'
import type { Policy } from '@hazellift/decisions'
import { inTimeBySecond, computeFigures } from './figures.js'
import type { CallerEnd, Figures, Outcome } from './figures.js'
import { LabWorld, zoneName } from './labWorld.js'
import type { EntrySlot } from './labWorld.js'
import { scheduleTroubles } from './scheduleTroubles.js'
import type { Scenario } from './scenario.js'
import { drawTraffic } from './traffic.js'
import type { Arrival } from './traffic.js'

/** A run of a scenario. */
export interface LabRun {
  figures: Figures
  /** Share in time by second of arrival; null where none was asked for. */
  inTimeBySecond: Array<number | null>
  violations: string[]
}

/** Sessions stand, and endpoints are known. */
const WARM_UP_MS = 2000
/** After the traffic, until its last answers. */
const COOL_DOWN_MS = 12_000
/** Way between caller and entry, in ms. */
const CLIENT_DELAY_MS = 1
/** A caller whose connection breaks sends again, elsewhere. */
const RESEND_DELAY_MS = 1300
/** Headers of a request and of its answer, with TCP and IP. */
const REQUEST_BYTES = 400
const ANSWER_BYTES = 250
/** Processor time of a request at its entry. */
const REQUEST_CPU_MS = 0.4

const specOf = ({ job, patienceMs }: Arrival, { objective }: Scenario, deadlineMs: number): LeasedJobSpec => ({
  workspace: 'w',
  id: job.id,
  requestId: '',
  service: 's',
  payload: 'p'.repeat(job.kind.payloadBytes),
  count: job.tasks.length,
  need: job.tasks[0]!.need,
  estimateMs: job.estimateMs,
  kind: job.kind.name,
  priority: job.kind.priority,
  attempts: job.kind.attempts,
  objective: { ...objective, lateFactor: 3 },
  deadlineMs: Math.min(deadlineMs, patienceMs)
})

/** One caller: sends, waits, sends again if the connection breaks, and leaves when its time is over. */
class Caller {
  private sendCount = 0
  private hasEnded = false

  constructor (
    private readonly world: LabWorld,
    private readonly arrival: Arrival,
    private readonly startedAt: number,
    private readonly onEnded: (outcome: Outcome) => void
  ) {}

  send (): void {
    const { world, arrival } = this
    const entry = this.chooseEntry()
    const remainingMs = this.startedAt + arrival.patienceMs - world.clock.now()
    if (this.hasEnded) return
    if (remainingMs <= 0) return this.finish('left')
    if (entry === undefined) return this.scheduleResend()
    this.sendCount++
    const bytes = REQUEST_BYTES + arrival.job.kind.payloadBytes
    world.clock.after(CLIENT_DELAY_MS, () => entry.process.receive(bytes, () => entry.process.execute(REQUEST_CPU_MS, () => this.submit(entry, remainingMs))))
    this.watchConnection(entry, this.sendCount)
  }

  private submit (entry: EntrySlot, remainingMs: number): void {
    const { world, arrival } = this
    if (this.hasEnded) return
    const { end, leave } = entry.jobs.submit(specOf(arrival, world.scenario, remainingMs))
    world.clock.after(remainingMs, () => {
      if (entry.process.isUp) entry.process.run(leave)
      this.finish('left')
    })
    void end.then((value) => {
      if (!entry.process.isUp) return
      entry.process.execute(REQUEST_CPU_MS / 2, () => world.clock.after(entry.process.send(ANSWER_BYTES) + CLIENT_DELAY_MS, () => this.onAnswer(value)))
    })
  }

  /** A process that dies breaks the connection. */
  private watchConnection (entry: EntrySlot, sendNumber: number): void {
    if (this.hasEnded || this.sendCount !== sendNumber) return
    if (!entry.process.isUp) return this.scheduleResend()
    this.world.clock.after(20, () => this.watchConnection(entry, sendNumber))
  }

  private scheduleResend (): void {
    this.world.clock.after(RESEND_DELAY_MS, () => this.send())
  }

  /** By zone at first; another one each time after. */
  private chooseEntry (): EntrySlot | undefined {
    const up = this.world.entries.filter(({ process }) => process.isUp)
    const sameZone = up.filter(({ zone }) => zone === zoneName(this.arrival.zone))
    const candidates = sameZone.length > 0 && this.sendCount === 0 ? sameZone : up
    const { zone, client } = this.arrival
    if (client !== undefined) return candidates[rendezvousScore(`${zone}.${client}`, String(this.sendCount)) % Math.max(1, candidates.length)]
    return candidates[(Math.floor(this.arrival.at) + this.sendCount) % Math.max(1, candidates.length)]
  }

  private onAnswer (end: LeasedJobEnd): void {
    if (end.type === 'failed' && end.reason === 'caller_gone') return
    this.finish(end.type)
  }

  private finish (end: CallerEnd): void {
    if (this.hasEnded) return
    this.hasEnded = true
    const hadFreeCapacity = end === 'refused' && this.world.hasFreeCapacityFor(this.arrival.job.tasks[0]!.need)
    this.onEnded({ arrival: this.arrival, end, responseMs: this.world.clock.now() - this.startedAt, hadFreeCapacity: hadFreeCapacity })
  }
}

/**
 * Plays a scenario.
 *
 * @param scenario - load and troubles
 * @param seed - the same seed gives the same load and, for the same policy, the same bits
 * @param policy - the decisions
 */
export const runScenario = async (scenario: Scenario, seed: number, policy: Policy): Promise<LabRun> => {
  const world = new LabWorld(scenario, seed, policy)
  const outcomes: Outcome[] = []
  for (const arrival of drawTraffic(scenario, seed)) {
    world.addJob(arrival.job)
    const at = WARM_UP_MS + arrival.at
    world.clock.after(at, () => new Caller(world, arrival, at, (outcome) => outcomes.push(outcome)).send())
  }
  scheduleTroubles(world, WARM_UP_MS)
  await world.clock.runUntil(WARM_UP_MS + scenario.seconds * 1000 + COOL_DOWN_MS)
  world.collectCounts()
  return { figures: computeFigures(outcomes, world.counts), inTimeBySecond: inTimeBySecond(outcomes, scenario.seconds), violations: world.counts.violations }
}
