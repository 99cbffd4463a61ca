import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { ClaimRecordSchema } from '@hazellift/protocol'
import type { ClaimRecord } from '@hazellift/protocol'
import type { TableRow } from '@hazellift/store'
import { submissionKey } from '../tasks/keys.js'

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = 'claim/'

/** A submission's claim and the version of its row, which conditional writes need. */
export interface Claim {
  record: ClaimRecord
  version: bigint
}

/** Key of a submission's claim row. */
export const claimKey = (workspace: string, submission: string): string =>
  CLAIM_PREFIX + submissionKey(workspace, submission)

/** Decodes the claim in a row. */
export const decodeClaim = (row: TableRow): Claim =>
  ({ record: fromBinary(ClaimRecordSchema, row.value), version: row.version })

/** Encodes a claim as the value of its row. */
export const encodeClaim = (record: ClaimRecord): Uint8Array => toBinary(ClaimRecordSchema, record)
