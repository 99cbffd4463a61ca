import { clone, create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { fail, ok } from '@hazellift/common'
import type { Clock, Result } from '@hazellift/common'
import { ClaimRecordSchema, JobAnswerSchema } from '@hazellift/protocol'
import type { ClaimRecord, JobAnswer } from '@hazellift/protocol'
import type { CommitOutcome, GroupCommit, ObjectStore, StoreFault, TableService } from '@hazellift/store'
import { CLAIM_PREFIX, claimKey, decodeClaim, encodeClaim } from './claimRows.js'
import type { Claim } from './claimRows.js'
import { GroupRead } from './groupRead.js'

/** What a claim records about its submission, whoever owns it. */
export interface SubmissionDetails {
  workspace: string
  submission: string
  bodyHash: Uint8Array
  service: string
  taskCount: number
  unrepeatable: boolean
  deadlineMs: number
}

/** Outcome of an attempt to become the owner of a submission. */
export type ClaimOutcome =
  | { type: 'owned', claim: Claim }
  /** The row holds another claim. */
  | { type: 'existing', claim: Claim }
  /**
   * The table did not answer in time. Nothing was or will be started under this nonce.
   * `certain` is true if the write is also known never to take effect.
   */
  | { type: 'unavailable', nonce: string, certain: boolean, message: string }

/** Outcome of writing a final answer. */
export type FinishOutcome =
  | { type: 'committed' }
  /** Another entry has taken the claim over; its answer is the valid one. */
  | { type: 'lost' }
  | { type: 'unavailable', message: string }

/** Dependencies and settings of a claim store. */
export interface ClaimStoreOptions {
  table: TableService
  objects: ObjectStore
  group: GroupCommit
  clock: Clock
  entryId: string
  incarnation: string
  newNonce: () => string
  /** Largest encoded answer stored in the row, in bytes; a larger one is stored as an object. */
  rowAnswerBytes: number
}

/**
 * Reads and writes the claims of submissions in the table service.
 *
 * Invariant: the row of a submission names one owner. Only an entry that knows
 * its own nonce to be committed in the row may start tasks.
 */
export class ClaimStore {
  private readonly reads: GroupRead

  constructor (private readonly options: ClaimStoreOptions) {
    this.reads = new GroupRead(options.table)
  }

  /**
   * Inserts the claim of a submission if there is none.
   *
   * @param deadline - when to stop trying, on the monotonic clock
   */
  async claim (details: SubmissionDetails, deadline: number): Promise<ClaimOutcome> {
    const { clock } = this.options
    const record = create(ClaimRecordSchema, { ...details, ...this.ownership(), createdMs: clock.wallNow() })
    return this.write(record, 0n, deadline)
  }

  /**
   * Makes this entry the owner in place of the one that the claim names.
   *
   * @param deadline - when to stop trying, on the monotonic clock
   */
  async takeOver ({ record, version }: Claim, deadline: number): Promise<ClaimOutcome> {
    const next = clone(ClaimRecordSchema, record)
    Object.assign(next, this.ownership(), { generation: record.generation + 1 })
    return this.write(next, version, deadline)
  }

  /**
   * Writes the final answer if this entry still owns the claim.
   *
   * @param deadline - when to stop trying, on the monotonic clock
   */
  async finish (claim: Claim, answer: JobAnswer, deadline: number): Promise<FinishOutcome> {
    const record = clone(ClaimRecordSchema, claim.record)
    const stored = await this.storeAnswer(record, answer)
    if (!stored.ok) return { type: 'unavailable', message: stored.err.message }
    const outcome = await this.commit(record, claim.version, deadline)
    if (outcome.type === 'expired') return { type: 'unavailable', message: outcome.message }
    if (outcome.type === 'conflict') return { type: 'lost' }
    claim.record = record
    claim.version = outcome.version
    return { type: 'committed' }
  }

  /** Reads a claim; `undefined` if there is none. */
  async read (workspace: string, submission: string): Promise<Result<Claim | undefined, StoreFault>> {
    const res = await this.reads.read(claimKey(workspace, submission))
    if (!res.ok) return res
    return ok(res.value === undefined ? undefined : decodeClaim(res.value))
  }

  /** The final answer in a claim or in the object that the claim names; `undefined` if there is none yet. */
  async answerOf ({ record }: Claim): Promise<Result<JobAnswer | undefined, StoreFault>> {
    if (record.answer !== undefined) return ok(record.answer)
    if (record.answerObject === '') return ok(undefined)
    const res = await this.options.objects.get(record.answerObject)
    if (!res.ok) return res
    if (res.value === undefined) return fail({ type: 'invalid', message: `answer object ${record.answerObject} is missing` })
    return ok(fromBinary(JobAnswerSchema, res.value))
  }

  /**
   * Removes an expired claim and its answer object.
   *
   * @param deadline - when to stop trying, on the monotonic clock
   * @returns false if the row changed meanwhile or the table did not answer in time
   */
  async remove ({ record, version }: Claim, deadline: number): Promise<boolean> {
    const key = claimKey(record.workspace, record.submission)
    const outcome = await this.options.group.commit({ key, ifVersion: version, value: undefined }, deadline)
    if (outcome.type !== 'committed') return false
    if (record.answerObject !== '') await this.options.objects.delete(record.answerObject)
    return true
  }

  /**
   * Reads one page of all claims, in key order.
   *
   * @param after - key of the last row of the previous page
   * @returns the claims, and the key of the last row; an empty key if there is no row
   */
  async scan (after: string, limit: number): Promise<Result<{ claims: Claim[], last: string }, StoreFault>> {
    const res = await this.options.table.scan(CLAIM_PREFIX, after, limit)
    if (!res.ok) return res
    return ok({ claims: res.value.map(decodeClaim), last: res.value.at(-1)?.key ?? '' })
  }

  private ownership () {
    const { entryId, incarnation, newNonce } = this.options
    return { ownerEntry: entryId, ownerIncarnation: incarnation, nonce: newNonce() }
  }

  private async write (record: ClaimRecord, ifVersion: bigint, deadline: number): Promise<ClaimOutcome> {
    const outcome = await this.commit(record, ifVersion, deadline)
    switch (outcome.type) {
      case 'committed': return { type: 'owned', claim: { record, version: outcome.version } }
      case 'conflict': return this.onConflict(outcome.row.version === 0n, record, () => decodeClaim(outcome.row))
      case 'expired': return { type: 'unavailable', nonce: record.nonce, certain: outcome.certain, message: outcome.message }
    }
  }

  /** A takeover finds no row if the claim expired and was removed meanwhile. */
  private onConflict (isGone: boolean, record: ClaimRecord, decodeExisting: () => Claim): ClaimOutcome {
    return isGone
      ? { type: 'unavailable', nonce: record.nonce, certain: true, message: 'the claim expired' }
      : { type: 'existing', claim: decodeExisting() }
  }

  private commit (record: ClaimRecord, ifVersion: bigint, deadline: number): Promise<CommitOutcome> {
    const key = claimKey(record.workspace, record.submission)
    return this.options.group.commit({ key, ifVersion, value: encodeClaim(record) }, deadline)
  }

  private async storeAnswer (record: ClaimRecord, answer: JobAnswer): Promise<Result<void, StoreFault>> {
    const bytes = toBinary(JobAnswerSchema, answer)
    if (bytes.length <= this.options.rowAnswerBytes) {
      record.answer = answer
      return ok(undefined)
    }
    record.answerObject = `answers/${record.workspace}/${record.submission}/${record.nonce}`
    return this.options.objects.put(record.answerObject, bytes)
  }
}
