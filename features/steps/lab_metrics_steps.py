"""Steps for the metrics that the laboratory reads from processes."""

from behave import given, then

from limelever_lab.fleet.metrics import claim_bytes, control_bytes, parse_metrics

TEXT = """# TYPE limelever_link_bytes counter
limelever_link_bytes_total{{purpose="{purpose}",direction="in"}} {received}
limelever_link_bytes_total{{purpose="{purpose}",direction="out"}} {sent}
limelever_link_frames_total{{purpose="{purpose}",direction="in"}} 9
"""


@given(
    'a process that exchanged {received:d} bytes in and {sent:d} bytes out on links of "{purpose}"'
)
def given_exchanged(context, received, sent, purpose):
    text = TEXT.format(purpose=purpose, received=received, sent=sent)
    context.samples = parse_metrics(text)


@then("the laboratory counts {control:d} control bytes and {claims:d} claim bytes")
def then_counts(context, control, claims):
    counted = (control_bytes(context.samples), claim_bytes(context.samples))
    assert counted == (control, claims), counted
