import { create } from '@bufbuild/protobuf'
import { ZoneListSchema, ZoneSpecSchema } from '@hazellift/protocol'
import { Command } from 'commander'
import { changeCommand, putConfig } from './configCommands.js'
import type { ChangeOptions } from './configCommands.js'
import { clientCommand, createClient } from './globalOptions.js'
import type { GlobalOptions } from './globalOptions.js'
import { printFault, printJson, printTable } from './output.js'

const setEvacuated = (evacuated: boolean) => async (zone: string, options: ChangeOptions): Promise<void> =>
  putConfig(options, `/v1/zones/${encodeURIComponent(zone)}`, ZoneSpecSchema, create(ZoneSpecSchema, { evacuated }), async (client) => {
    const res = await client.call(ZoneListSchema, { method: 'GET', path: '/v1/zones' })
    return res.ok ? res.value.zones.find(({ name }) => name === zone)?.version ?? 0n : 0n
  })

const listZones = async (options: GlobalOptions): Promise<void> => {
  const res = await createClient(options).call(ZoneListSchema, { method: 'GET', path: '/v1/zones' })
  if (!res.ok) return printFault(res.err)
  if (options.json) return printJson(ZoneListSchema, res.value)
  printTable(['zone', 'state', 'endpoints', 'running here', 'version'], res.value.zones.map(
    ({ name, evacuated, endpoints, running, version }) => [name, evacuated ? 'evacuated' : 'open', endpoints, running, version]))
}

/** `hazellift zones`. */
export const zonesCommand = (): Command => {
  const zones = new Command('zones').description('lists, evacuates and restores availability zones (administrator)')
  zones.addCommand(changeCommand('evacuate', 'no start goes to the zone\'s endpoints until it is restored; what runs is finished')
    .argument('<zone>', 'name of the availability zone')
    .action(setEvacuated(true)))
  zones.addCommand(changeCommand('restore', 'starts go to the zone\'s endpoints again')
    .argument('<zone>', 'name of the availability zone')
    .action(setEvacuated(false)))
  zones.addCommand(clientCommand('list', 'lists the zones that the entry knows').action(listZones))
  return zones
}
