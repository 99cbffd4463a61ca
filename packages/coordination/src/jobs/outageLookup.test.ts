import { create } from '@bufbuild/protobuf'
import { AwaitResponseSchema, EntryRecordSchema, PEER_ANSWERS, RUN_STATES } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { OutageLookup } from './outageLookup.js'

const MEMORY_MS = 600_000
const FRESH_MS = 6000

/** The conditions that must all hold for the reply "not run". */
const NOT_RUN_CONDITIONS = {
  sinceReadMs: 100,
  /** Age of the last read once the peers have answered. */
  sinceReadMsLater: 100,
  sinceEndMs: Infinity,
  isMemoryWhole: true,
  mayClaim: true,
  reachable: true,
  answeredBy: 'incarnation-1',
  memoryWhole: true
}

const CASES: { name: string, facts: Partial<typeof NOT_RUN_CONDITIONS>, run: string }[] = [
  { name: 'all conditions hold', facts: {}, run: RUN_STATES.notRun },
  { name: 'the last read of the entries is too old', facts: { sinceReadMs: FRESH_MS, sinceReadMsLater: FRESH_MS }, run: RUN_STATES.mayHaveRun },
  { name: 'the last read was too old when the peers were listed, though a newer one followed', facts: { sinceReadMs: FRESH_MS }, run: RUN_STATES.mayHaveRun },
  { name: 'an entry ended within the memory time', facts: { sinceEndMs: MEMORY_MS - 1 }, run: RUN_STATES.mayHaveRun },
  { name: 'an entry ended before the memory time', facts: { sinceEndMs: MEMORY_MS + 1 }, run: RUN_STATES.notRun },
  { name: 'this entry dropped an answer early', facts: { isMemoryWhole: false }, run: RUN_STATES.mayHaveRun },
  { name: 'the other entries do not know this one yet', facts: { mayClaim: false }, run: RUN_STATES.mayHaveRun },
  { name: 'another entry does not answer', facts: { reachable: false }, run: RUN_STATES.mayHaveRun },
  { name: 'a later incarnation answers at the address of the entry asked', facts: { answeredBy: 'incarnation-2' }, run: RUN_STATES.mayHaveRun },
  { name: 'another entry dropped an answer early', facts: { memoryWhole: false }, run: RUN_STATES.mayHaveRun }
]

// Guards against the reply "not run" for a submission that ran at an entry that was not
// asked, did not answer, has ended since or has dropped the answer.
test.each(CASES)('a submission that no entry knows is reported as "$run" if $name', async ({ facts, run }) => {
  const all = { ...NOT_RUN_CONDITIONS, ...facts }
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
      cancel: async () => { throw new Error('a lookup must not cancel a job') }
    }
  })
  expect(await lookup.find('florist', 'order-1', undefined, 0)).toEqual({ type: 'absent', run })
})
