import { getOption } from '@bufbuild/protobuf'
import type { DescribeSetting } from '@hazellift/common'
import { setting } from './gen/hazellift/v1/options_pb.js'

/** Reads a setting's description from the options of its field in the schema. */
export const describeSetting: DescribeSetting = (field) => getOption(field, setting)
