import { readFileSync } from 'node:fs'
import { fromJson } from '@bufbuild/protobuf'
import type { DescMessage, JsonValue, MessageShape } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { parseDocument } from 'yaml'

/**
 * Reads a message from a YAML or JSON file.
 *
 * @param schema - schema of the message
 * @param file - path of the file, or - for standard input
 * @returns the message, or what is wrong with the file
 */
export const readDocument = <Desc extends DescMessage>(schema: Desc, file: string): Result<MessageShape<Desc>, string> => {
  try {
    const document = parseDocument(readFileSync(file === '-' ? 0 : file, 'utf8'))
    const [first] = document.errors
    if (first !== undefined) return fail(`${file}: ${first.message}`)
    return ok(fromJson(schema, document.toJS() as JsonValue))
  } catch (err) {
    return fail(`${file}: ${errorMessage(err)}`)
  }
}
