//! Lists of regions, and distances between failure domains.

use test_case::test_case;

use crate::region::{Distance, Regions, RegionsError};

const TWO: &str = "kranj=north,loka=north,lesce=south";

#[test_case(TWO, "kranj", "kranj", Distance::SameDomain; "one domain")]
#[test_case(TWO, "kranj", "loka", Distance::SameRegion; "two domains of a region")]
#[test_case(TWO, "kranj", "lesce", Distance::Beyond; "two regions")]
#[test_case(TWO, "kranj", "ptuj", Distance::Beyond; "an unlisted domain is a region of its own")]
#[test_case(TWO, "kranj", "north", Distance::Beyond; "an unlisted domain with the name of a region")]
#[test_case("a=x,b=y,c=z", "a", "c", Distance::Beyond; "three regions")]
#[test_case("", "kranj", "lesce", Distance::SameRegion; "no regions")]
#[test_case("kranj=north,loka=north", "kranj", "ptuj", Distance::SameRegion; "one region")]
fn distance_follows_regions(text: &str, domain: &str, other: &str, expected: Distance) {
    let regions: Regions = text.parse().expect("a list of regions");
    assert_eq!(regions.distance(domain, other), expected);
    assert_eq!(regions.distance(other, domain), expected);
}

#[test_case("kranj", RegionsError::NoPair; "no region")]
#[test_case("kranj=", RegionsError::NoPair; "an empty region")]
#[test_case("kranj=north,", RegionsError::NoPair; "a comma at the end")]
#[test_case("kranj=north=south", RegionsError::NoPair; "two regions of a domain")]
#[test_case("kranj=north\n", RegionsError::NoPair; "a region with a line break")]
#[test_case("Kranj 1=north", RegionsError::NoPair; "a domain that is no name")]
#[test_case("kranj=north,kranj=south", RegionsError::Duplicate; "a domain in two regions")]
fn invalid_list_is_rejected(text: &str, expected: RegionsError) {
    assert_eq!(text.parse::<Regions>(), Err(expected));
}

/// Guards against nodes that do not start because of a platform's name of a region.
#[test]
fn regions_of_platforms_may_have_any_printable_name() {
    let regions: Regions = "kranj=EU_West (1),loka=eu/east".parse().expect("a list of regions");
    assert_eq!((regions.region_of("kranj"), regions.has_several()), ("EU_West (1)", true));
}

/// Guards against unbounded memory for a list of any length.
#[test]
fn list_over_the_limit_is_rejected() {
    let pairs: Vec<String> = (0..257).map(|at| format!("d{at}=r")).collect();
    assert_eq!(pairs.join(",").parse::<Regions>(), Err(RegionsError::TooMany));
}
