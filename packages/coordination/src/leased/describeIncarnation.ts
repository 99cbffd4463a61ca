import { create } from '@bufbuild/protobuf'
import { EndpointStateSchema, RoomSchema } from '@hazellift/protocol'
import type { EndpointState } from '@hazellift/protocol'
import type { AnnouncedIncarnation } from './leasedHostOptions.js'

/**
 * What entries are told of an endpoint's life.
 *
 * @param life - unset while none takes starts
 */
export const describeIncarnation = (life: AnnouncedIncarnation | undefined): EndpointState => {
  if (life === undefined) return create(EndpointStateSchema)
  const { service, incarnation, address, capacity } = life
  return create(EndpointStateSchema, { service, incarnation, address, capacity: create(RoomSchema, capacity) })
}
