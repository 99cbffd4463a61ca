import { fromBinary } from '@bufbuild/protobuf'
import type { CommitOutcome, TableRow, TableWrite } from '@hazellift/store'
import { EntryRecordSchema } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { EntryDirectory } from './entryDirectory.js'

/** One row with the conditions of a table; commits end when the test says so. */
const createRow = () => {
  let row: TableRow | undefined
  const commit = async ({ key, ifVersion, value }: TableWrite): Promise<CommitOutcome> => {
    const version = row?.version ?? 0n
    if (version !== ifVersion) return { type: 'conflict', row: row! }
    row = { key, version: version + 1n, value: value! }
    return { type: 'committed', version: row.version }
  }
  return { commit, current: () => fromBinary(EntryRecordSchema, row!.value) }
}

test('a heartbeat under way does not keep a graceful stop from showing its end', async () => {
  const row = createRow()
  const directory = new EntryDirectory({
    table: { scan: async () => ({ ok: true, value: [] }) },
    group: { commit: row.commit },
    clock: createFakeClock(),
    self: () => ({ entryId: 'entry-0', incarnation: 'a', apiAddress: '', sessionAddress: '' }),
    heartbeatMs: 1000,
    staleAfterMs: 5000,
    rowRetentionMs: 60_000,
    configVersion: () => 0n,
    onChange: () => {}
  })
  // The row that this write leaves is not known yet when the stop writes its own.
  void directory.leave()
  await directory.stop()
  expect(row.current()).toMatchObject({ incarnation: 'a', ended: true })
})
