import { create } from '@bufbuild/protobuf'
import { RevokeSchema, TaskKeySchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { isRevoked } from './isRevoked.js'

const HIGHEST = 2 ** 32 - 1

describe('isRevoked', () => {
  const cases = [
    { name: 'all tasks', revoke: {}, key: {}, expected: true },
    { name: 'its task', revoke: { tasks: [0, 2] }, key: { task: 2 }, expected: true },
    { name: 'another task', revoke: { tasks: [0, 2] }, key: { task: 1 }, expected: false },
    { name: 'another submission', revoke: {}, key: { submission: 'other' }, expected: false },
    { name: 'another workspace', revoke: {}, key: { workspace: 'other' }, expected: false },
    { name: 'the last start', revoke: { lastStart: 7 }, key: { attempt: 7 }, expected: true },
    { name: 'an earlier start', revoke: { lastStart: 7 }, key: { attempt: 1 }, expected: true },
    { name: 'a later start', revoke: { lastStart: 7 }, key: { attempt: 8 }, expected: false },
    { name: 'any start, if none is named', revoke: { lastStart: 0 }, key: { attempt: 8 }, expected: true },
    { name: 'a start before the numbers began anew', revoke: { lastStart: 2 }, key: { attempt: HIGHEST }, expected: true },
    { name: 'a start after the numbers began anew', revoke: { lastStart: HIGHEST }, key: { attempt: 2 }, expected: false }
  ]
  it.each(cases)('$name: $expected', ({ revoke, key, expected }) => {
    const message = create(RevokeSchema, { workspace: 'w', submission: 'j', ...revoke })
    expect(isRevoked(message, create(TaskKeySchema, { workspace: 'w', submission: 'j', ...key }))).toBe(expected)
  })
})
