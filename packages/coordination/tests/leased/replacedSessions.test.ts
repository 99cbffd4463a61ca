import { create } from '@bufbuild/protobuf'
import { AgentFrameSchema, EntryFrameSchema, LeasedStartSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LeasedHost } from '../../src/index.js'
import { createFakeClock } from '../fakeClock.js'
import { FakeEndpoint, CAPACITY } from './fakeEndpoint.js'
import { LEASE_TIMES, LeasedNetwork } from './leasedNetwork.js'

const ENTRY = 'e'
/** Refused, as this entry has no valid lease: the agent reports a result at once. */
const START = create(LeasedStartSchema, { workspace: 'w', submission: 'j', tasks: [{ index: 0, attempt: 1 }], waitMs: 100 })

/** An agent's session with the entry; its next frame is pending until it is sent. */
class Session {
  private pending: AgentFrame | undefined

  constructor (private readonly host: LeasedHost) {
    host.openSession(ENTRY, this.add)
  }

  add = (change: (frame: AgentFrame) => void): void => {
    this.pending ??= create(AgentFrameSchema)
    change(this.pending)
  }

  receive (frame: Partial<EntryFrame>): void {
    this.host.onFrame(ENTRY, this.add, Object.assign(create(EntryFrameSchema), frame))
  }

  send (): AgentFrame {
    this.add(() => {})
    const frame = this.pending!
    this.pending = undefined
    this.host.fillFrame(ENTRY, this.add, frame)
    return frame
  }
}

const newHost = (): LeasedHost => {
  const clock = createFakeClock()
  clock.advance(1000)
  return new LeasedHost({ clock, zone: 'z', times: LEASE_TIMES, pollWaitMs: 100, log: () => {}, observe: () => {} })
}

describe('the last frame of a session that leaves after another one has replaced it', () => {
  const cases: Array<{ name: string, act: (session: Session, host: LeasedHost) => void | Promise<void>, read: (frame: AgentFrame) => unknown, expected: unknown }> = [
    {
      name: 'results',
      act: (session) => session.receive({ leasedStarts: [START] }),
      read: ({ results }) => results.map(({ key }) => key!.submission),
      expected: ['j']
    },
    {
      name: 'the configuration document',
      act: (session) => session.receive({ configVersion: 3n, config: Buffer.from('doc'), wantsConfig: true }),
      read: ({ config }) => Buffer.from(config).toString(),
      expected: 'doc'
    },
    {
      name: 'the free capacity',
      act: async (_session, host) => {
        const endpoint = new FakeEndpoint(createFakeClock(), () => 1)
        host.setEndpoint({ service: 's', incarnation: 'i', address: '', capacity: CAPACITY, endpoint })
        await new Promise((resolve) => setImmediate(resolve))
      },
      read: ({ room }) => room?.cpuMilli,
      expected: CAPACITY.cpuMilli
    },
    {
      name: 'the list of evacuated zones',
      act: (session) => {
        session.receive({ evacuations: { version: 2n, zones: ['y'] } as unknown as NonNullable<EntryFrame['evacuations']> })
        session.receive({ evacuationsVersion: 1n })
      },
      read: ({ evacuations }) => evacuations?.zones,
      expected: ['y']
    }
  ]
  it.each(cases)('leaves $name to the present session', async ({ act, read, expected }) => {
    const host = newHost()
    const earlier = new Session(host)
    const present = new Session(host)
    await act(present, host)
    const nothing = read(create(AgentFrameSchema))
    const late = read(earlier.send())
    expect({ late, present: read(present.send()) }).toEqual({ late: nothing, present: expected })
  })

  it('does not cost a job its answer', async () => {
    const network = new LeasedNetwork(1, 1)
    await network.advance(400)
    // The result of the first run waits for that of the second.
    network.submit(0, 'j', 2)
    await network.advance(50)
    const { host } = network.agents[0]!
    // A frame of an earlier session leaves once the result was reported, before that of the present one.
    network.onEndedStart = () => queueMicrotask(() => host.fillFrame(network.entries[0]!.incarnation, () => {}, create(AgentFrameSchema)))
    await network.advance(3000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })
})

describe('results that an entry acknowledges', () => {
  type Step = 'report' | 'send' | 'send_earlier' | 'acknowledge' | 'replace'
  const steps = fc.array(fc.constantFrom<Step>('report', 'send', 'send_earlier', 'acknowledge', 'replace'), { minLength: 40, maxLength: 40 })

  it('were received by it, whatever was sent on replaced sessions', () => {
    fc.assert(fc.property(steps, (plan) => {
      const host = newHost()
      let earlier = new Session(host)
      let present = new Session(host)
      let reported = 0
      let acked = 0n
      const received = new Set<bigint>()
      const acknowledged = (): bigint[] => Array.from({ length: reported - host.unacked }, (_, index) => BigInt(index + 1))
      const acts: Record<Step, () => void> = {
        report: () => {
          reported++
          present.receive({ ackedSeq: acked, leasedStarts: [START] })
        },
        send: () => {
          for (const { seq } of present.send().results) {
            received.add(seq)
            acked = seq
          }
        },
        // Nothing that leaves on a replaced session reaches the entry.
        send_earlier: () => { earlier.send() },
        acknowledge: () => present.receive({ ackedSeq: acked }),
        replace: () => {
          earlier = present
          present = new Session(host)
          acked = 0n
        }
      }
      for (const step of plan) {
        acts[step]()
        expect(acknowledged().filter((seq) => !received.has(seq))).toEqual([])
      }
    }))
  })
})
