import { fromJson } from '@bufbuild/protobuf'
import type { DescMessage, JsonValue, MessageShape } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { visit } from 'jsonc-parser'

/** Name of the first field that occurs twice in one object, if any. */
const findDuplicateField = (text: string): string | undefined => {
  const scopes: Set<string>[] = []
  let duplicate: string | undefined
  visit(text, {
    onObjectBegin: () => { scopes.push(new Set()) },
    onObjectEnd: () => { scopes.pop() },
    onObjectProperty: (name) => {
      const fields = scopes.at(-1)!
      if (fields.has(name)) duplicate ??= name
      fields.add(name)
    }
  })
  return duplicate
}

/**
 * Parses a message from a JSON body. Unknown and duplicate fields are errors: a caller that
 * misspells a field must not get something other than it asked for.
 *
 * @param schema - schema of the message
 * @param bytes - the body, in UTF-8
 * @returns the message, or what is wrong with the body
 */
export const parseJson = <Desc extends DescMessage>(schema: Desc, bytes: Uint8Array): Result<MessageShape<Desc>, string> => {
  let text: string
  let json: JsonValue
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(bytes)
    json = JSON.parse(text)
  } catch (err) {
    return fail(`the body is not valid JSON: ${errorMessage(err)}`)
  }
  const duplicate = findDuplicateField(text)
  if (duplicate !== undefined) return fail(`the field '${duplicate}' stands twice`)
  try {
    return ok(fromJson(schema, json))
  } catch (err) {
    return fail(`the body does not fit: ${errorMessage(err)}`)
  }
}
