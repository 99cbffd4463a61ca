import type { ASTNode } from '@marcbachmann/cel-js'
import { FORBIDDEN_CALLS, LOOP_MACROS } from './constants.js'

/** A construct in an expression whose cost is not bounded, and the message for the author of the policy. */
export interface CostFault {
  node: ASTNode
  message: string
}

const isNode = (value: unknown): value is ASTNode =>
  typeof value === 'object' && value !== null && 'op' in value && 'args' in value

const childrenOf = (value: unknown): ASTNode[] => {
  if (isNode(value)) return [value]
  return Array.isArray(value) ? value.flatMap(childrenOf) : []
}

const calledName = (node: ASTNode): string | undefined =>
  node.op === 'call' || node.op === 'rcall' ? node.args[0] : undefined

/**
 * Finds the first construct that could make an evaluation expensive: a forbidden
 * call or a nested loop.
 *
 * @param node - the expression
 * @param isInLoop - true within a macro that loops
 * @returns the construct; undefined if there is none
 */
export const findCostFault = (node: ASTNode, isInLoop = false): CostFault | undefined => {
  const name = calledName(node) ?? ''
  if (FORBIDDEN_CALLS.has(name)) return { node, message: `${name}() is not available in policies` }
  const isLoop = node.op === 'rcall' && LOOP_MACROS.has(name)
  if (isLoop && isInLoop) return { node, message: `${name}() must not stand within another loop` }
  for (const child of childrenOf(node.args)) {
    const fault = findCostFault(child, isInLoop || isLoop)
    if (fault !== undefined) return fault
  }
  return undefined
}
