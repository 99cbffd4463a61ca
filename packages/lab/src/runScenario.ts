import { rendezvousScore } from '@hazellift/common'
import type { LeasedJobEnd, LeasedJobSpec } from '@hazellift/coordination'
import type { Policy } from '@hazellift/decisions'
import { inTimeBySecond, toFigures } from './figures.js'
import type { CallerEnd, Figures, Outcome } from './figures.js'
import { LabWorld, zoneName } from './labWorld.js'
import type { EntrySlot } from './labWorld.js'
import { playTroubles } from './playTroubles.js'
import type { Scenario } from './scenario.js'
import { drawTraffic } from './traffic.js'
import type { Arrival } from './traffic.js'

/** A run of a scenario. */
export interface LabRun {
  figures: Figures
  /** Share in time by second of arrival; null where none was asked for. */
  seconds: Array<number | null>
  violations: string[]
}

/** Sessions stand, and endpoints are known. */
const WARM_UP_MS = 2000
/** After the traffic, until its last answers. */
const FINISH_MS = 12_000
/** Way between caller and entry, in ms. */
const CLIENT_MS = 1
/** A caller whose connection breaks sends again, elsewhere. */
const RESEND_MS = 1300
/** Headers of a request and of its answer, with TCP and IP. */
const REQUEST_BYTES = 400
const ANSWER_BYTES = 250
/** Processor time of a request at its entry. */
const REQUEST_COST_MS = 0.4

const specOf = ({ job, patienceMs }: Arrival, { objective }: Scenario, deadlineMs: number): LeasedJobSpec => ({
  workspace: 'w',
  id: job.id,
  requestId: '',
  service: 's',
  payload: 'p'.repeat(job.kind.payloadBytes),
  count: job.tasks.length,
  need: job.tasks[0]!.need,
  estimateMs: job.guessMs,
  kind: job.kind.name,
  priority: job.kind.priority,
  attempts: job.kind.attempts,
  objective: { ...objective, lateFactor: 3 },
  deadlineMs: Math.min(deadlineMs, patienceMs)
})

/** One caller: sends, waits, sends again if the connection breaks, and leaves when its time is over. */
class Caller {
  private tries = 0
  private isOver = false

  constructor (
    private readonly world: LabWorld,
    private readonly arrival: Arrival,
    private readonly startedAt: number,
    private readonly onOver: (outcome: Outcome) => void
  ) {}

  send (): void {
    const { world, arrival } = this
    const entry = this.pickEntry()
    const leftMs = this.startedAt + arrival.patienceMs - world.clock.now()
    if (this.isOver) return
    if (leftMs <= 0) return this.over('left')
    if (entry === undefined) return this.again()
    this.tries++
    const bytes = REQUEST_BYTES + arrival.job.kind.payloadBytes
    world.clock.after(CLIENT_MS, () => entry.process.receive(bytes, () => entry.process.work(REQUEST_COST_MS, () => this.submit(entry, leftMs))))
    this.watch(entry, this.tries)
  }

  private submit (entry: EntrySlot, leftMs: number): void {
    const { world, arrival } = this
    if (this.isOver) return
    const { end, leave } = entry.jobs.submit(specOf(arrival, world.scenario, leftMs))
    world.clock.after(leftMs, () => {
      if (entry.process.isUp) entry.process.run(leave)
      this.over('left')
    })
    void end.then((value) => {
      if (!entry.process.isUp) return
      entry.process.work(REQUEST_COST_MS / 2, () => world.clock.after(entry.process.send(ANSWER_BYTES) + CLIENT_MS, () => this.onAnswer(value)))
    })
  }

  /** A process that dies breaks the connection. */
  private watch (entry: EntrySlot, at: number): void {
    if (this.isOver || this.tries !== at) return
    if (!entry.process.isUp) return this.again()
    this.world.clock.after(20, () => this.watch(entry, at))
  }

  private again (): void {
    this.world.clock.after(RESEND_MS, () => this.send())
  }

  /** By zone at first; another one each time after. */
  private pickEntry (): EntrySlot | undefined {
    const up = this.world.entries.filter(({ process }) => process.isUp)
    const near = up.filter(({ zone }) => zone === zoneName(this.arrival.zone))
    const list = near.length > 0 && this.tries === 0 ? near : up
    const { zone, client } = this.arrival
    if (client !== undefined) return list[rendezvousScore(`${zone}.${client}`, String(this.tries)) % Math.max(1, list.length)]
    return list[(Math.floor(this.arrival.at) + this.tries) % Math.max(1, list.length)]
  }

  private onAnswer (end: LeasedJobEnd): void {
    if (end.type === 'failed' && end.reason === 'caller_gone') return
    this.over(end.type)
  }

  private over (end: CallerEnd): void {
    if (this.isOver) return
    this.isOver = true
    const roomWasFree = end === 'refused' && this.world.hasRoomFor(this.arrival.job.tasks[0]!.need)
    this.onOver({ arrival: this.arrival, end, ms: this.world.clock.now() - this.startedAt, roomWasFree })
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
    world.know(arrival.job)
    const at = WARM_UP_MS + arrival.at
    world.clock.after(at, () => new Caller(world, arrival, at, (outcome) => outcomes.push(outcome)).send())
  }
  playTroubles(world, WARM_UP_MS)
  await world.clock.runUntil(WARM_UP_MS + scenario.seconds * 1000 + FINISH_MS)
  world.countUp()
  return { figures: toFigures(outcomes, world.counts), seconds: inTimeBySecond(outcomes, scenario.seconds), violations: world.counts.violations }
}
