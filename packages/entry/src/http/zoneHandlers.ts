import { create } from '@bufbuild/protobuf'
import { CONFIG_KINDS } from '@hazellift/coordination'
import { REASONS, ZoneListSchema, ZoneRecordSchema, ZoneSpecSchema, ZoneViewSchema } from '@hazellift/protocol'
import type { ZoneView } from '@hazellift/protocol'
import { ulid } from 'ulid'
import { authenticateAdmin } from './authenticate.js'
import { saveConfigChange } from './configHandlers.js'
import type { ApiContext, ApiHandler } from './apiContext.js'
import { notRunError } from './httpError.js'
import { readMessage } from './readMessage.js'
import { sendError, sendMessage } from './reply.js'

/** Zones with endpoints that this entry knows, and those that were ever changed. */
const listKnownZones = ({ clusterView: view, configWatch: watch }: ApiContext): ZoneView[] => {
  const zones = new Map<string, ZoneView>()
  const getOrCreate = (name: string): ZoneView => {
    const known = zones.get(name) ?? create(ZoneViewSchema, { name })
    zones.set(name, known)
    return known
  }
  for (const { zone, running } of view.ownStatus().endpoints) {
    const known = getOrCreate(zone)
    known.endpoints++
    known.running += running
  }
  for (const { name, version, evacuated } of watch.zones) Object.assign(getOrCreate(name), { version, evacuated })
  return [...zones.values()].sort((a, b) => a.name < b.name ? -1 : 1)
}

/** Lists the availability zones, for the administrator. */
export const listZones: ApiHandler = (context, { req, res }) => {
  const auth = authenticateAdmin(req, context.settings.adminToken)
  if (!auth.ok) return sendError(res, auth.err)
  sendMessage(res, 200, ZoneListSchema, create(ZoneListSchema, { zones: listKnownZones(context) }))
}

/** Evacuates or restores an availability zone. */
export const putZone: ApiHandler = async (context, request) => {
  const { req, res, params } = request
  const auth = authenticateAdmin(req, context.settings.adminToken)
  if (!auth.ok) return sendError(res, auth.err)
  const name = params['zone'] ?? ''
  const known = listKnownZones(context).map(({ name }) => name)
  if (!known.includes(name)) {
    return sendError(res, notRunError(REASONS.notFound, `no endpoint is known in an availability zone '${name}'; known: ${known.join(', ') || 'none'}`))
  }
  const spec = await readMessage(context, request, ZoneSpecSchema)
  if (!spec.ok) return sendError(res, spec.err)
  const { evacuated, seenVersion, operationId } = spec.value
  const record = create(ZoneRecordSchema, { name, evacuated })
  await saveConfigChange(context, request, { kind: CONFIG_KINDS.zone, name, seenVersion, operationId: operationId || ulid(), record })
}
