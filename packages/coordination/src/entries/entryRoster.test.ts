import { create, toBinary } from '@bufbuild/protobuf'
import type { TableRow } from '@hazellift/store'
import { EntryRecordSchema } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { ENTRY_PREFIX, EntryRoster } from './entryRoster.js'

const STALE_AFTER_MS = 1000

interface SeenRow { id: string, incarnation: string, version: bigint, ended?: boolean, replaced?: boolean }

const toRow = ({ id, version, ...facts }: SeenRow): TableRow =>
  ({ key: ENTRY_PREFIX + id, version, value: toBinary(EntryRecordSchema, create(EntryRecordSchema, { entryId: id, ...facts })) })

const PEER: SeenRow = { id: 'peer', incarnation: 'a', version: 1n }
const OWN: SeenRow = { id: 'self', incarnation: 'own', version: 1n }

/** Reads of the rows, half the stale time apart, and what they show of the peer. */
const CASES: { name: string, reads: SeenRow[][], sawEnd: boolean, isOther: boolean, isLive: boolean }[] = [
  { name: 'its row changes', reads: [[PEER], [{ ...PEER, version: 2n }]], sawEnd: false, isOther: true, isLive: true },
  { name: 'its row went stale: it may live on', reads: [[PEER], [PEER], [PEER]], sawEnd: false, isOther: true, isLive: false },
  { name: 'it stopped gracefully', reads: [[PEER], [{ ...PEER, version: 2n, ended: true }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'it had stopped before the first read', reads: [[{ ...PEER, ended: true }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'a later process took its row', reads: [[PEER], [{ ...PEER, incarnation: 'b', version: 2n, replaced: true }]], sawEnd: true, isOther: true, isLive: true },
  { name: 'it had taken a row before the first read', reads: [[{ ...PEER, replaced: true }]], sawEnd: true, isOther: true, isLive: true },
  { name: 'its row is gone', reads: [[PEER], []], sawEnd: true, isOther: false, isLive: false },
  { name: 'there is a row of the own earlier process', reads: [[{ ...OWN, incarnation: 'earlier' }]], sawEnd: true, isOther: false, isLive: false },
  { name: 'there is the own row only', reads: [[OWN], [{ ...OWN, version: 2n }]], sawEnd: false, isOther: false, isLive: false }
]

test.each(CASES)('of a peer, where $name', ({ reads, sawEnd, isOther, isLive }) => {
  const roster = new EntryRoster({ now: () => 0, self: () => ({ entryId: 'self', incarnation: 'own' }), staleAfterMs: STALE_AFTER_MS })
  for (const rows of reads) roster.apply(rows.map(toRow), STALE_AFTER_MS / 2)
  expect({ sawEnd: roster.sinceEndMs === 0, isOther: roster.others.length === 1, isLive: roster.live.length === 1 })
    .toEqual({ sawEnd, isOther, isLive })
})

test('an entry that introduced itself stays known to reads that are older than its row, for the stale time', () => {
  const roster = new EntryRoster({ now: () => 0, self: () => ({ entryId: 'self', incarnation: 'own' }), staleAfterMs: STALE_AFTER_MS })
  roster.introduce(create(EntryRecordSchema, { entryId: 'peer', incarnation: 'a' }))
  roster.apply([], STALE_AFTER_MS / 2)
  expect(roster.others).toHaveLength(1)
  roster.apply([], STALE_AFTER_MS / 2)
  roster.apply([], STALE_AFTER_MS / 2)
  expect({ others: roster.others.length, sawEnd: roster.sinceEndMs === 0 }).toEqual({ others: 0, sawEnd: true })
})
