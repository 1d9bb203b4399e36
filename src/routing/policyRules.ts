import { PolicyRule } from "../controlState/policy";

/** What a policy rule is matched against. */
export interface PolicySubject {
  route: string;
  kind: string;
  caller: string;
}

/**
 * The first rule that matches the subject and has the effect asked for; later rules with that effect do not apply.
 *
 * @example
 * const rule = firstMatchingRule({ route: "ask", kind: "lookup", caller: "" }, policies, (each) => each.order !== undefined);
 */
export function firstMatchingRule(
  subject: PolicySubject,
  rules: PolicyRule[],
  hasEffect: (rule: PolicyRule) => boolean,
): PolicyRule | undefined {
  return rules.find(
    (rule) =>
      hasEffect(rule) &&
      (rule.match.binding === undefined || rule.match.binding === subject.route) &&
      (rule.match.kind === undefined || rule.match.kind === subject.kind) &&
      (rule.match.caller === undefined || rule.match.caller === subject.caller),
  );
}
