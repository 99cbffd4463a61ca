import { spawnSync } from 'node:child_process'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { ADMIN_TOKEN, operatorToken } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { createTasks, submit, useCluster } from './support.js'

// Workers 0 to 2 are in zone-a, zone-b and zone-c.
const cluster = useCluster({ entries: 2, workers: 3 })
const entryMain = join(dirname(createRequire(import.meta.url).resolve('@hazellift/entry')), 'main.js')

const runZones = (args: string[], { entry = 0, token = ADMIN_TOKEN } = {}) => spawnSync(process.execPath, [entryMain, 'zones', ...args], {
  env: { ...process.env, HAZELLIFT_URL: cluster().apiUrl(entry), HAZELLIFT_TOKEN: token }, encoding: 'utf8', timeout: 20_000
})

const getZone = (zone: string, entry = 0): { evacuated: boolean, endpoints: number, version: string } => {
  const { zones: views } = JSON.parse(runZones(['list', '--json'], { entry }).stdout)
  return views.find(({ name }: { name: string }) => name === zone)
}

/** Number of starts so far at each worker's endpoint. */
const countStarts = (): number[] => [0, 1, 2].map((index) => cluster().startedKeysOf(index).length)

test('an evacuated zone gets no starts through any entry until it is restored', async () => {
  const evacuated = runZones(['evacuate', 'zone-a', '--wait'])
  expect(evacuated).toMatchObject({ status: 0, stdout: expect.stringContaining('in force at entry-0, entry-1') })
  expect(getZone('zone-a', 1)).toMatchObject({ evacuated: true, endpoints: 1 })
  const before = countStarts()
  for (let job = 0; job < 8; job++) {
    const reply = await submit(cluster(), { id: `evacuated-${job}`, tasks: createTasks(6, 20) }, { entry: job % 2 })
    expect(reply.state).toBe('complete')
  }
  const during = countStarts()
  expect(during[0]! - before[0]!).toBe(0)
  expect(during[1]! + during[2]! - before[1]! - before[2]!).toBe(48)
  expect(runZones(['restore', 'zone-a', '--wait'], { entry: 1 }).status).toBe(0)
  for (let job = 0; job < 8; job++) await submit(cluster(), { id: `restored-${job}`, tasks: createTasks(12, 20) }, { entry: job % 2 })
  expect(countStarts()[0]! - during[0]!).toBeGreaterThan(0)
})

test.each([
  { name: 'evacuation of an unknown zone', args: ['evacuate', 'zone-x'], status: 1, expectedTexts: ['not_found', 'zone-a, zone-b, zone-c'] },
  { name: 'evacuation by a workspace operator', args: ['evacuate', 'zone-a'], token: operatorToken('florist'), status: 1, expectedTexts: ['not run'] },
  { name: 'a change based on another version', args: ['evacuate', 'zone-a', '--seen-version', '99'], status: 1, expectedTexts: ['version_conflict'] }
])('$name is refused and changes nothing', ({ args, token, status, expectedTexts }) => {
  const { version } = getZone('zone-a')
  const res = runZones(args, token === undefined ? {} : { token })
  expect(res.status).toBe(status)
  for (const text of expectedTexts) expect(res.stderr).toContain(text)
  expect(getZone('zone-a')).toMatchObject({ version, evacuated: false })
})
