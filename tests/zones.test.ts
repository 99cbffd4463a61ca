import { spawnSync } from 'node:child_process'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { ADMIN_TOKEN, operatorToken } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { submit, tasksOf, useCluster } from './support.js'

// Workers 0 to 2 stand in zone-a, zone-b and zone-c.
const cluster = useCluster({ entries: 2, workers: 3 })
const main = join(dirname(createRequire(import.meta.url).resolve('@hazellift/entry')), 'main.js')

const zones = (args: string[], { entry = 0, token = ADMIN_TOKEN } = {}) => spawnSync(process.execPath, [main, 'zones', ...args], {
  env: { ...process.env, HAZELLIFT_URL: cluster().apiUrl(entry), HAZELLIFT_TOKEN: token }, encoding: 'utf8', timeout: 20_000
})

const stateOf = (zone: string, entry = 0): { evacuated: boolean, endpoints: number, version: string } => {
  const { zones: views } = JSON.parse(zones(['list', '--json'], { entry }).stdout)
  return views.find(({ name }: { name: string }) => name === zone)
}

/** Starts so far at each worker's endpoint. */
const startsOf = (): number[] => [0, 1, 2].map((index) => cluster().startedKeysOf(index).length)

test('an evacuated zone gets no start through any entry, until it is restored', async () => {
  const evacuated = zones(['evacuate', 'zone-a', '--wait'])
  expect(evacuated).toMatchObject({ status: 0, stdout: expect.stringContaining('in force at entry-0, entry-1') })
  expect(stateOf('zone-a', 1)).toMatchObject({ evacuated: true, endpoints: 1 })
  const before = startsOf()
  for (let job = 0; job < 8; job++) {
    const told = await submit(cluster(), { id: `evacuated-${job}`, tasks: tasksOf(6, 20) }, { entry: job % 2 })
    expect(told.state).toBe('complete')
  }
  const during = startsOf()
  expect(during[0]! - before[0]!).toBe(0)
  expect(during[1]! + during[2]! - before[1]! - before[2]!).toBe(48)
  expect(zones(['restore', 'zone-a', '--wait'], { entry: 1 }).status).toBe(0)
  for (let job = 0; job < 8; job++) await submit(cluster(), { id: `restored-${job}`, tasks: tasksOf(12, 20) }, { entry: job % 2 })
  expect(startsOf()[0]! - during[0]!).toBeGreaterThan(0)
})

test.each([
  { name: 'a zone that nobody knows', args: ['evacuate', 'zone-x'], status: 1, says: ['not_found', 'zone-a, zone-b, zone-c'] },
  { name: 'an operator of a workspace', args: ['evacuate', 'zone-a'], token: operatorToken('florist'), status: 1, says: ['not run'] },
  { name: 'a change made from an old version', args: ['evacuate', 'zone-a', '--seen-version', '99'], status: 1, says: ['version_conflict'] }
])('$name is refused, and nothing changes', ({ args, token, status, says }) => {
  const { version } = stateOf('zone-a')
  const res = zones(args, token === undefined ? {} : { token })
  expect(res.status).toBe(status)
  for (const text of says) expect(res.stderr).toContain(text)
  expect(stateOf('zone-a')).toMatchObject({ version, evacuated: false })
})
