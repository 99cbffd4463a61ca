import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { ClaimRecordSchema } from '@hazellift/protocol'
import type { ClaimRecord } from '@hazellift/protocol'
import type { TableRow } from '@hazellift/store'
import { submissionKey } from '../tasks/keys.js'

/** Prefix of all claim rows. */
export const CLAIM_PREFIX = 'claim/'

/** A claim row with the version that the table gave it. */
export interface Claim {
  record: ClaimRecord
  version: bigint
}

/** Key of a submission's claim row. */
export const claimKey = (workspace: string, submission: string): string =>
  CLAIM_PREFIX + submissionKey(workspace, submission)

/** The claim in a row. */
export const decodeClaim = (row: TableRow): Claim =>
  ({ record: fromBinary(ClaimRecordSchema, row.value), version: row.version })

/** The bytes of a claim row. */
export const encodeClaim = (record: ClaimRecord): Uint8Array => toBinary(ClaimRecordSchema, record)
