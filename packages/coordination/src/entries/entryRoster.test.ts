import { create, toBinary } from '@bufbuild/protobuf'
import type { TableRow } from '@hazellift/store'
import { EntryRecordSchema } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { ENTRY_PREFIX, EntryRoster } from './entryRoster.js'

const STALE_AFTER_MS = 1000

interface RowFacts { id: string, incarnation: string, version: bigint, ended?: boolean, replaced?: boolean }

const toRow = ({ id, version, ...facts }: RowFacts): TableRow =>
  ({ key: ENTRY_PREFIX + id, version, value: toBinary(EntryRecordSchema, create(EntryRecordSchema, { entryId: id, ...facts })) })

const PEER: RowFacts = { id: 'peer', incarnation: 'a', version: 1n }
const OWN: RowFacts = { id: 'self', incarnation: 'own', version: 1n }

/** Reads of the rows, half the stale time apart, and what the roster shows of the peer after them. */
const CASES: { name: string, reads: RowFacts[][], sawEnd: boolean, isOther: boolean, isLive: boolean }[] = [
  { name: 'its row changes', reads: [[PEER], [{ ...PEER, version: 2n }]], sawEnd: false, isOther: true, isLive: true },
  { name: 'its row went stale, which does not confirm its end', reads: [[PEER], [PEER], [PEER]], sawEnd: false, isOther: true, isLive: false },
  { name: 'it stopped gracefully', reads: [[PEER], [{ ...PEER, version: 2n, ended: true }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'it had stopped gracefully before the first read', reads: [[{ ...PEER, ended: true }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'a later process replaced its row', reads: [[PEER], [{ ...PEER, incarnation: 'b', version: 2n, replaced: true }]], sawEnd: true, isOther: true, isLive: true },
  { name: 'it had replaced a row before the first read', reads: [[{ ...PEER, replaced: true }]], sawEnd: true, isOther: true, isLive: true },
  { name: 'its row was removed', reads: [[PEER], []], sawEnd: true, isOther: false, isLive: false },
  { name: 'only a row of an earlier process of this entry is read', reads: [[{ ...OWN, incarnation: 'earlier' }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'only the own row is read', reads: [[OWN], [{ ...OWN, version: 2n }]], sawEnd: false, isOther: false, isLive: false }
]

test.each(CASES)('shows whether a peer is live and whether an entry ended: $name', ({ reads, sawEnd, isOther, isLive }) => {
  const roster = new EntryRoster({ now: () => 0, self: () => ({ entryId: 'self', incarnation: 'own' }), staleAfterMs: STALE_AFTER_MS })
  for (const rows of reads) roster.apply(rows.map(toRow), STALE_AFTER_MS / 2)
  expect({ sawEnd: roster.sinceEndMs === 0, isOther: roster.others.length === 1, isLive: roster.live.length === 1 })
    .toEqual({ sawEnd, isOther, isLive })
})

test('an entry that introduced itself stays known for the stale time while reads do not show its row', () => {
  const roster = new EntryRoster({ now: () => 0, self: () => ({ entryId: 'self', incarnation: 'own' }), staleAfterMs: STALE_AFTER_MS })
  roster.introduce(create(EntryRecordSchema, { entryId: 'peer', incarnation: 'a' }))
  roster.apply([], STALE_AFTER_MS / 2)
  expect(roster.others).toHaveLength(1)
  roster.apply([], STALE_AFTER_MS / 2)
  roster.apply([], STALE_AFTER_MS / 2)
  expect({ others: roster.others.length, sawEnd: roster.sinceEndMs === 0 }).toEqual({ others: 0, sawEnd: true })
})
