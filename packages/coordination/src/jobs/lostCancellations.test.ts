import { create } from '@bufbuild/protobuf'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { AwaitResponseSchema, ClaimRecordSchema, EntryRecordSchema } from '@hazellift/protocol'
import type { StoreFault } from '@hazellift/store'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import type { FakeClock } from '../../tests/fakeClock.js'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import type { Admission } from './admission.js'
import { createJob } from './job.js'
import type { Job } from './job.js'
import { JobService } from './jobService.js'
import { OwnedJobs } from './ownedJobs.js'
import type { PeerCalls } from './peerCalls.js'
import type { JobReply } from './replies.js'

const CLAIM_TIMEOUT_MS = 4000
const STALE_AFTER_MS = 6000
const STEP_MS = 20
/** Longer than any reply to a cancellation may take. */
const MAX_REPLY_MS = 10_000

const JOB = {
  workspace: 'w', id: 'j', service: 's', payloads: ['p'], unrepeatable: false, priority: 0, retries: 0, leaseMs: 60_000, arrivedAt: 0, deadlineAt: 60_000
}

/** An entry with its jobs; `runs` are the jobs that its dispatcher runs. */
interface FakeEntry {
  incarnation: string
  owned: OwnedJobs
  jobs: JobService
  runs: Set<Job>
}

/** Two entries with one claim row. Entry 0 owns the job, the caller cancels it at entry 1. */
class CancelNetwork {
  readonly clock: FakeClock = createFakeClock()
  claim: Claim
  readonly entries: FakeEntry[]
  /** Number of calls to the owner whose connections are reset before they arrive. */
  lostCancels = 0
  /** False until entry 1 has read the row of the owner. */
  isOwnerKnown = true
  isOwnerDead = false
  /** Number of reads of the claim that fail, after those that succeed. */
  failedReads = 0
  goodReads = 0
  retries: string[] = []
  /** Questions to the owner other than cancellations get no answer. */
  isOwnerMute = false

  constructor () {
    this.entries = [0, 1].map((index) => this.createEntry(index))
    this.claim = this.claimOf(0)
    const [owner] = this.entries
    owner!.owned.start(createJob(JOB), this.claim)
  }

  /** A claim of an entry. */
  claimOf (index: number): Claim {
    const { incarnation } = this.entries[index]!
    const record = create(ClaimRecordSchema, {
      workspace: JOB.workspace, submission: JOB.id, service: JOB.service, taskCount: 1, ownerEntry: incarnation, ownerIncarnation: incarnation, nonce: `nonce-${index}`, deadlineMs: 60_000
    })
    return { record, version: 1n }
  }

  /** Advances the clock until the reply is there. */
  async until (reply: Promise<JobReply>): Promise<JobReply> {
    const settled: { reply?: JobReply } = {}
    void reply.then((value) => { settled.reply = value })
    for (let ms = 0; settled.reply === undefined && ms < MAX_REPLY_MS; ms += STEP_MS) {
      await new Promise((resolve) => setImmediate(resolve))
      this.clock.advance(STEP_MS)
    }
    if (settled.reply === undefined) throw new Error('no reply')
    return settled.reply
  }

  private readClaim (): Result<Claim, StoreFault> {
    if (this.goodReads-- > 0 || this.failedReads-- <= 0) return ok(this.claim)
    return fail({ type: 'unknown', message: 'no answer within 500 ms' })
  }

  private createEntry (index: number): FakeEntry {
    const runs = new Set<Job>()
    const claims = {
      read: async () => this.readClaim(),
      answerOf: async ({ record }: Claim) => ok(record.answer),
      takeOver: async () => {
        this.claim = this.claimOf(index)
        return { type: 'owned', claim: this.claim }
      },
      finish: async () => ({ type: 'committed' })
    } as unknown as ClaimStore
    const dispatcher = {
      add: (job: Job) => { runs.add(job) },
      collect: (job: Job) => { runs.add(job) },
      drop: (job: Job) => { runs.delete(job) },
      release: (job: Job) => { runs.delete(job) }
    }
    const owned = new OwnedJobs({
      clock: this.clock, now: this.clock.now, maxMs: 600_000, maxBytes: 1_000_000, claims, dispatcher: () => dispatcher, saveTimeoutMs: 1000, onAnswer: () => {}
    })
    const incarnation = `entry-${index}`
    const jobs = new JobService({
      clock: this.clock,
      claims,
      owned,
      admission: {} as Admission,
      directory: this.createDirectory(),
      peers: this.createPeers(),
      entryId: incarnation,
      incarnation,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
      defaultDeadlineMs: 60_000,
      leaseMs: 60_000,
      staleAfterMs: STALE_AFTER_MS,
      answerWindowMs: 600_000,
      observeClaim: () => {},
      observeCancelRetry: (reason) => { this.retries.push(reason) },
      isStoreUp: () => true,
      mayClaim: () => true
    })
    return { incarnation, owned, jobs, runs }
  }

  private createDirectory (): EntryDirectory {
    return {
      others: [create(EntryRecordSchema, { entryId: 'entry-0', incarnation: 'entry-0', sessionAddress: 'entry-0' })],
      sinceReadMs: 0,
      sinceEndMs: Infinity,
      find: (entryId: string, incarnation: string) => this.isOwnerKnown && !this.isOwnerDead ? create(EntryRecordSchema, { entryId, incarnation, sessionAddress: entryId }) : undefined,
      refresh: async () => {
        this.isOwnerKnown = true
        return true
      },
      isStale: () => this.isOwnerDead
    } as unknown as EntryDirectory
  }

  private createPeers (): PeerCalls {
    const reset = fail({ type: 'unreachable' as const, message: 'connection reset' })
    const answersOf = (address: string) => this.entries.find(({ incarnation }) => incarnation === address)!.jobs.peerAnswers
    return {
      await: async (address, query) => this.isOwnerDead || this.isOwnerMute ? reset : ok(create(AwaitResponseSchema, await answersOf(address).await(query))),
      cancel: async (address, query) => {
        if (this.isOwnerDead || this.lostCancels-- > 0) return reset
        return ok(create(AwaitResponseSchema, await answersOf(address).cancel(query)))
      }
    }
  }
}

describe('a cancellation at another entry than the owner', () => {
  const cases: Array<{ name: string, prepare: (network: CancelNetwork) => void }> = [
    { name: 'the owner answers', prepare: () => {} },
    { name: 'the connection to the owner is reset', prepare: (network) => { network.lostCancels = 1 } },
    { name: 'the entry has not read the row of the owner yet', prepare: (network) => { network.isOwnerKnown = false } },
    {
      name: 'the owner has ended, and this entry takes the job over',
      prepare: (network) => {
        network.isOwnerDead = true
        network.entries[0]!.runs.clear()
      }
    },
    {
      name: 'the owner answers the cancellation, and no question after it',
      prepare: (network) => { network.isOwnerMute = true }
    },
    {
      name: 'one read of the claim fails',
      prepare: (network) => { network.failedReads = 1 }
    },
    {
      name: 'no read of the claim succeeds',
      prepare: (network) => { network.failedReads = Infinity }
    },
    {
      name: 'no read of the claim succeeds, and the connection to the owner is reset',
      prepare: (network) => {
        network.failedReads = Infinity
        network.lostCancels = 1
      }
    },
    {
      name: 'the connection to the owner is reset, and later reads of the claim fail',
      prepare: (network) => {
        network.goodReads = 1
        network.failedReads = Infinity
        network.lostCancels = 1
      }
    },
    {
      name: 'the owner has ended, and the first reads of the claim fail',
      prepare: (network) => {
        network.isOwnerDead = true
        network.entries[0]!.runs.clear()
        network.failedReads = 3
      }
    },
    {
      name: 'the owner ends while it is called',
      prepare: (network) => {
        network.lostCancels = 1
        network.clock.after(STEP_MS, () => {
          network.isOwnerDead = true
          network.entries[0]!.runs.clear()
        })
      }
    }
  ]
  it.each(cases)('ends the job: $name', async ({ prepare }) => {
    const network = new CancelNetwork()
    prepare(network)
    const reply = await network.until(network.entries[1]!.jobs.cancel('w', 'j'))
    expect(reply).toMatchObject({ type: 'answer', answer: { reason: 'cancelled' } })
    expect(network.entries.map(({ runs }) => runs.size)).toEqual([0, 0])
  })
})

// A refusal to cancel must not be said to have had no effect, as the request may have reached the owner.
it('a cancellation that reaches nobody is refused once its time has passed, and counted', async () => {
  const network = new CancelNetwork()
  network.failedReads = Infinity
  network.lostCancels = Infinity
  const reply = await network.until(network.entries[1]!.jobs.cancel('w', 'j'))
  expect(reply).toMatchObject({ type: 'refused', reason: 'store_down', run: 'may have run' })
  expect(network.clock.now()).toBeGreaterThanOrEqual(CLAIM_TIMEOUT_MS)
  expect(new Set(network.retries)).toEqual(new Set(['store_down']))
})

// Guards against a wait that the caller granted and that a single failed read of the table ends.
describe('a caller that waits at another entry than the owner gets the answer', () => {
  const WAIT_MS = 8000
  const END_MS = 5000
  const cases: Array<{ name: string, prepare: (network: CancelNetwork) => void }> = [
    { name: 'all reads succeed', prepare: () => {} },
    { name: 'reads fail while the owner is asked', prepare: (network) => { Object.assign(network, { goodReads: 1, failedReads: 5 }) } },
    { name: 'no read succeeds after the first one', prepare: (network) => { Object.assign(network, { goodReads: 1, failedReads: Infinity }) } }
  ]
  it.each(cases)('$name', async ({ prepare }) => {
    const network = new CancelNetwork()
    prepare(network)
    network.clock.after(END_MS, () => network.entries[0]!.owned.failByKey('w/j', 'deadline', 'the deadline passed'))
    const reply = await network.until(network.entries[1]!.jobs.ask('w', 'j', WAIT_MS))
    expect(reply).toMatchObject({ type: 'answer', answer: { reason: 'deadline' } })
  })
})

// The same guard for a caller at an entry that has lost the job to another one.
it('a caller whose job has moved to another entry gets the answer, though the first reads of the claim fail', async () => {
  const network = new CancelNetwork()
  const [first, second] = network.entries
  const reply = first!.jobs.ask('w', 'j', 8000)
  await new Promise((resolve) => setImmediate(resolve))
  network.claim = network.claimOf(1)
  network.failedReads = 3
  second!.owned.start(createJob(JOB), network.claim)
  first!.owned.onMoved([...first!.runs][0]!)
  network.clock.after(5000, () => second!.owned.failByKey('w/j', 'deadline', 'the deadline passed'))
  expect(await network.until(reply)).toMatchObject({ type: 'answer', answer: { reason: 'deadline' } })
})
