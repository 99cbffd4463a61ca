import { create } from '@bufbuild/protobuf'
import { AwaitResponseSchema, EntryRecordSchema, PEER_ANSWERS, RUN_STATES } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { OutageLookup } from './outageLookup.js'

const MEMORY_MS = 600_000
const FRESH_MS = 6000

/** Everything that the proof of "not run" rests on, as it should be. */
const PROVED = {
  sinceReadMs: 100,
  /** Age of the view once the others have answered. */
  sinceReadMsLater: 100,
  sinceEndMs: Infinity,
  isMemoryWhole: true,
  mayClaim: true,
  reachable: true,
  answeredBy: 'incarnation-1',
  memoryWhole: true
}

const CASES: { name: string, facts: Partial<typeof PROVED>, run: string }[] = [
  { name: 'all is as it should be', facts: {}, run: RUN_STATES.notRun },
  { name: 'the view is too old', facts: { sinceReadMs: FRESH_MS, sinceReadMsLater: FRESH_MS }, run: RUN_STATES.mayHaveRun },
  { name: 'the view was too old when the list was taken from it', facts: { sinceReadMs: FRESH_MS }, run: RUN_STATES.mayHaveRun },
  { name: 'an entry has ended lately', facts: { sinceEndMs: MEMORY_MS - 1 }, run: RUN_STATES.mayHaveRun },
  { name: 'an entry ended longer ago than anybody remembers', facts: { sinceEndMs: MEMORY_MS + 1 }, run: RUN_STATES.notRun },
  { name: 'the own memory dropped an answer early', facts: { isMemoryWhole: false }, run: RUN_STATES.mayHaveRun },
  { name: 'the others do not know this entry yet', facts: { mayClaim: false }, run: RUN_STATES.mayHaveRun },
  { name: 'another entry does not answer', facts: { reachable: false }, run: RUN_STATES.mayHaveRun },
  { name: 'a later process answers at its address', facts: { answeredBy: 'incarnation-2' }, run: RUN_STATES.mayHaveRun },
  { name: 'another entry dropped an answer early', facts: { memoryWhole: false }, run: RUN_STATES.mayHaveRun }
]

test.each(CASES)('of a submission that nobody knows: $run where $name', async ({ facts, run }) => {
  const all = { ...PROVED, ...facts }
  const directory = {
    others: [create(EntryRecordSchema, { entryId: 'entry-1', incarnation: 'incarnation-1', sessionAddress: '127.0.0.1:1' })],
    sinceReadMs: all.sinceReadMs,
    sinceEndMs: all.sinceEndMs
  }
  const lookup = new OutageLookup({
    clock: createFakeClock(),
    directory,
    memoryMs: MEMORY_MS,
    freshMs: FRESH_MS,
    isMemoryWhole: () => all.isMemoryWhole,
    mayClaim: () => all.mayClaim,
    peers: {
      await: async () => {
        directory.sinceReadMs = all.sinceReadMsLater
        if (!all.reachable) return { ok: false, err: { type: 'unreachable', message: '' } }
        const { answeredBy: incarnation, memoryWhole } = all
        return { ok: true, value: create(AwaitResponseSchema, { kind: PEER_ANSWERS.unknown, incarnation, memoryWhole }) }
      },
      cancel: async () => { throw new Error('a lookup cancels nothing') }
    }
  })
  expect(await lookup.find('florist', 'order-1', undefined, 0)).toEqual({ type: 'absent', run })
})
